package io.azurestage.bench.standin;

import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/** Counts calls by kind and the peak over a sliding second. Thread-safe. */
final class StandInStoreMeter {
    private static final int SLOTS = 10;
    private static final long SLOT_NANOS = Duration.ofSeconds(1).toNanos() / SLOTS;

    private final Map<String, Long> mCalls = new TreeMap<>();
    private final long[] mSlots = new long[SLOTS];
    private long mSlot;
    private long mTotal;
    private long mPeak;

    synchronized void count(String kind, long nanos) {
        mCalls.merge(kind, 1L, Long::sum);
        mTotal++;
        long slot = Math.floorDiv(nanos, SLOT_NANOS);
        if (mTotal == 1 || slot - mSlot >= SLOTS) {
            clearSlots();
            mSlot = slot;
        }
        while (mSlot < slot) {
            mSlot++;
            mSlots[Math.floorMod(mSlot, SLOTS)] = 0;
        }
        mSlots[Math.floorMod(mSlot, SLOTS)]++;
        long sum = 0;
        for (long n : mSlots) {
            sum += n;
        }
        mPeak = Math.max(mPeak, sum);
    }

    synchronized StandInStoreCounters read() {
        return new StandInStoreCounters(mCalls, mTotal, mPeak);
    }

    synchronized void reset() {
        mCalls.clear();
        clearSlots();
        mTotal = 0;
        mPeak = 0;
    }

    private void clearSlots() {
        Arrays.fill(mSlots, 0);
    }
}
