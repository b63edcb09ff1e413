package io.azurestage.core.time;

import java.time.Instant;

final class SystemTimeSource implements TimeSource {
    static final SystemTimeSource INSTANCE = new SystemTimeSource();

    private SystemTimeSource() {}

    @Override
    public Instant now() {
        return Instant.now();
    }

    @Override
    public long nanos() {
        return System.nanoTime();
    }
}
