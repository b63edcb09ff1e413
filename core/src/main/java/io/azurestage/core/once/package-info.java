/** At-most-once execution of non-idempotent requests: tickets and the registry of their use. */
package io.azurestage.core.once;
