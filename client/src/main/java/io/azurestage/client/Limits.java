package io.azurestage.client;

/** Bounds on the attempts of one call. */
record Limits(int maxAttempts, int refusalRetries) {}
