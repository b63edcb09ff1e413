/**
 * At-most-once execution of non-idempotent requests: tickets and the registry that honours them.
 */
package io.azurestage.core.once;
