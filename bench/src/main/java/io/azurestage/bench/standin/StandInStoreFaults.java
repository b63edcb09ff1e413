package io.azurestage.bench.standin;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

/** The switches of the faults. Thread-safe. */
final class StandInStoreFaults {
    private static final long UNLIMITED = Long.MAX_VALUE;

    private final Map<StandInStoreFault, Long> mLeft = new EnumMap<>(StandInStoreFault.class);
    private Duration mDelay = Duration.ZERO;

    synchronized void on(StandInStoreFault fault) {
        mLeft.put(fault, UNLIMITED);
    }

    synchronized void times(StandInStoreFault fault, long calls) {
        mLeft.put(fault, calls);
    }

    synchronized void off(StandInStoreFault fault) {
        mLeft.remove(fault);
    }

    synchronized void delay(Duration delay) {
        mDelay = delay;
    }

    synchronized Duration delay() {
        return mDelay;
    }

    /** Reports whether the fault strikes the present call, and uses up one time of it. */
    synchronized boolean strikes(StandInStoreFault fault) {
        Long left = mLeft.get(fault);
        if (left == null || left == 0) {
            return false;
        }
        if (left != UNLIMITED) {
            mLeft.put(fault, left - 1);
        }
        return true;
    }
}
