package io.azurestage.core.time;

import java.time.Duration;
import java.time.Instant;

/** A time source that only moves when told to, for tests and experiments. */
public final class ManualTimeSource implements TimeSource {
    private Instant mNow = Instant.parse("2026-01-01T00:00:00Z");
    private long mNanos;

    /** Creates a time source that starts at a fixed instant. */
    public ManualTimeSource() {}

    /**
     * Moves time forward.
     *
     * @param step how far, not negative
     */
    public synchronized void advance(Duration step) {
        mNow = mNow.plus(step);
        mNanos += step.toNanos();
    }

    /**
     * Steps the wall clock alone, as a correction of the system clock does.
     *
     * @param step how far, negative for backwards
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
