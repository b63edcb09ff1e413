package io.azurestage.core.time;

import java.time.Instant;

/** Source of time. Decision logic reads time only through this interface. */
public interface TimeSource {

    /**
     * Returns the wall-clock time, which may step forwards or backwards.
     *
     * @return the current instant
     */
    Instant now();

    /**
     * Returns monotonic time. Only differences between two values are meaningful.
     *
     * @return time in nanoseconds from an arbitrary origin
     */
    long nanos();

    /**
     * Returns the time source that reads the system clocks.
     *
     * @return a thread-safe time source
     */
    static TimeSource system() {
        return SystemTimeSource.INSTANCE;
    }
}
