package io.azurestage.client;

/** Bounds on the attempts of one call. */
record RetryLimits(int maxAttempts, int refusalRetries) {}
