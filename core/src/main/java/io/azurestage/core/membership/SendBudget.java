package io.azurestage.core.membership;

import java.util.concurrent.TimeUnit;

/**
 * Bounds the bytes of piggybacked updates, so that the loss of half of the members at once does not
 * exceed what a node may send for control. What does not fit waits; the digest carries the rest.
 */
final class SendBudget {
    /** Updates may take this much of the 7 KB/s that a node may use for control. */
    private static final double BYTES_PER_SECOND = 4_000;

    /** A change of a few members is spread at once. */
    private static final double BURST_BYTES = 16_000;

    /** Room that every message has, so that a drain is never held up by a mass of deaths. */
    private static final int ALWAYS_BYTES = 100;

    private double mBytes = BURST_BYTES;
    private long mLast;

    SendBudget(long nowNanos) {
        mLast = nowNanos;
    }

    /** Returns the bytes of updates that the next message may carry. */
    int room(long nowNanos) {
        double seconds = (nowNanos - mLast) / (double) TimeUnit.SECONDS.toNanos(1);
        mLast = nowNanos;
        mBytes = Math.min(BURST_BYTES, mBytes + seconds * BYTES_PER_SECOND);
        return (int) Math.max(ALWAYS_BYTES, mBytes);
    }

    void spend(int bytes) {
        mBytes = Math.max(0, mBytes - bytes);
    }
}
