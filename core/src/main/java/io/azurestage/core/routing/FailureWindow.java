package io.azurestage.core.routing;

import java.time.Duration;
import java.util.Optional;

/** Counts the failures of one server and tells when it is an outlier. Thread-safe. */
final class FailureWindow {
    static final int MAX_CONSECUTIVE = 5;
    static final int MIN_ATTEMPTS = 20;
    static final double MAX_RATE = 0.5;
    private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();

    private long mWindowEnd = Long.MIN_VALUE;
    private int mConsecutive;
    private int mAttempts;
    private int mFailures;

    synchronized void succeeded(long now) {
        roll(now);
        mConsecutive = 0;
        mAttempts++;
    }

    /** Counts a failure and returns the reason to eject the server, if there is one. */
    synchronized Optional<String> failed(long now) {
        roll(now);
        mConsecutive++;
        mAttempts++;
        mFailures++;
        if (mConsecutive >= MAX_CONSECUTIVE) {
            return Optional.of(mConsecutive + " consecutive failures");
        }
        if (mAttempts >= MIN_ATTEMPTS && mFailures >= MAX_RATE * mAttempts) {
            return Optional.of(mFailures + " of " + mAttempts + " attempts failed");
        }
        return Optional.empty();
    }

    synchronized void clear() {
        mConsecutive = 0;
        mWindowEnd = Long.MIN_VALUE;
    }

    private void roll(long now) {
        if (now >= mWindowEnd) {
            mWindowEnd = now + WINDOW_NANOS;
            mAttempts = 0;
            mFailures = 0;
        }
    }
}
