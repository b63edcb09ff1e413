package io.azurestage.core.time;

import java.time.Duration;
import java.time.Instant;

/** A time source that is advanced explicitly, for tests and simulations. */
public final class ManualTimeSource implements TimeSource {
    private Instant mNow = Instant.parse("2026-01-01T00:00:00Z");
    private long mNanos;

    /** Creates a time source that starts at a fixed instant. */
    public ManualTimeSource() {}

    /**
     * Advances the wall clock and the monotonic clock.
     *
     * @param step time to advance by, not negative
     */
    public synchronized void advance(Duration step) {
        mNow = mNow.plus(step);
        mNanos += step.toNanos();
    }

    /**
     * Steps only the wall clock, as a correction of the system clock does.
     *
     * @param step time to step by, negative to step backwards
     */
    public synchronized void stepWallClock(Duration step) {
        mNow = mNow.plus(step);
    }

    @Override
    public synchronized Instant now() {
        return mNow;
    }

    @Override
    public synchronized long nanos() {
        return mNanos;
    }
}
