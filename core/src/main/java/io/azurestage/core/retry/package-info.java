/** Retries: one allowance for the whole request, and the decision whether to use it. */
package io.azurestage.core.retry;
