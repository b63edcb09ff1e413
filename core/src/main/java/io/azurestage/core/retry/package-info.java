/** Retries: the allowance and budget that bound them, and the policy that decides on each one. */
package io.azurestage.core.retry;
