package io.azurestage.bench.standin;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

/** Tracks which faults are enabled and for how many calls. Thread-safe. */
final class StandInStoreFaults {
    private static final long UNLIMITED = Long.MAX_VALUE;

    private final Map<StandInStoreFault, Long> mRemainingCalls =
            new EnumMap<>(StandInStoreFault.class);
    private Duration mDelay = Duration.ZERO;

    synchronized void enable(StandInStoreFault fault) {
        mRemainingCalls.put(fault, UNLIMITED);
    }

    synchronized void enableForCalls(StandInStoreFault fault, long calls) {
        mRemainingCalls.put(fault, calls);
    }

    synchronized void disable(StandInStoreFault fault) {
        mRemainingCalls.remove(fault);
    }

    synchronized void delay(Duration delay) {
        mDelay = delay;
    }

    synchronized Duration delay() {
        return mDelay;
    }

    /** Reports whether the fault applies to the current call, and counts the call against it. */
    synchronized boolean tryApply(StandInStoreFault fault) {
        Long remaining = mRemainingCalls.get(fault);
        if (remaining == null || remaining == 0) {
            return false;
        }
        if (remaining != UNLIMITED) {
            mRemainingCalls.put(fault, remaining - 1);
        }
        return true;
    }
}
