package io.azurestage.core.routing;

import java.time.Duration;
import java.util.Optional;

/**
 * Counts the failures of one server in a fixed window and detects when it should be ejected as an
 * outlier. Thread-safe.
 */
final class FailureWindow {
    static final int EJECTION_CONSECUTIVE_FAILURES = 5;

    /** Attempts in the window below which the failure rate is not considered. */
    static final int MIN_ATTEMPTS = 20;

    static final double EJECTION_FAILURE_RATE = 0.5;
    private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();

    private long mWindowEndNanos = Long.MIN_VALUE;
    private int mConsecutiveFailures;
    private int mAttempts;
    private int mFailures;

    synchronized void recordSuccess(long now) {
        startNewWindowIfEnded(now);
        mConsecutiveFailures = 0;
        mAttempts++;
    }

    /** Records a failure and returns the reason to eject the server, if there is one. */
    synchronized Optional<String> recordFailure(long now) {
        startNewWindowIfEnded(now);
        mConsecutiveFailures++;
        mAttempts++;
        mFailures++;
        if (mConsecutiveFailures >= EJECTION_CONSECUTIVE_FAILURES) {
            return Optional.of(mConsecutiveFailures + " consecutive failures");
        }
        if (mAttempts >= MIN_ATTEMPTS && mFailures >= EJECTION_FAILURE_RATE * mAttempts) {
            return Optional.of(mFailures + " of " + mAttempts + " attempts failed");
        }
        return Optional.empty();
    }

    synchronized void reset() {
        mConsecutiveFailures = 0;
        mWindowEndNanos = Long.MIN_VALUE;
    }

    private void startNewWindowIfEnded(long now) {
        if (now >= mWindowEndNanos) {
            mWindowEndNanos = now + WINDOW_NANOS;
            mAttempts = 0;
            mFailures = 0;
        }
    }
}
