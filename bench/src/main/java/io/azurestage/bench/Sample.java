package io.azurestage.bench;

/**
 * One request of a caller, including all of the caller's own retries. Times are nanoseconds since
 * the start of the load; {@code key} is that of the last attempt.
 */
record Sample(
        int flow,
        String key,
        long intendedNanos,
        long sentNanos,
        long endNanos,
        AttemptResult result) {
    boolean whole() {
        return result.verdict() == Verdict.WHOLE;
    }
}
