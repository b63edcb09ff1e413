package io.azurestage.core.time;

import java.time.Instant;

/** Source of time. Decision logic never reads the system clock itself. */
public interface TimeSource {

    /**
     * Returns the wall-clock time, which may step backwards.
     *
     * @return the current instant
     */
    Instant now();

    /**
     * Returns monotonic time. Only differences have a meaning.
     *
     * @return nanoseconds
     */
    long nanos();

    /**
     * Returns the time source of the running machine.
     *
     * @return a thread-safe time source
     */
    static TimeSource system() {
        return SystemTimeSource.INSTANCE;
    }
}
