package io.azurestage.bench;

/**
 * One request of a caller, over all its hard retries. Times are nanoseconds from the start of the
 * load; {@code key} belongs to the last attempt.
 */
record Sample(
        int flow,
        String key,
        long intendedNanos,
        long sentNanos,
        long endNanos,
        AttemptResult ending) {
    boolean whole() {
        return ending.verdict() == Verdict.WHOLE;
    }
}
