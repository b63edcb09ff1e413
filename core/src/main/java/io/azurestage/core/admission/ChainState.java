package io.azurestage.core.admission;

import java.util.Map;

/**
 * Levels and offered rate of one chain. Thread-safe.
 *
 * <p>A fraction stands for the rate that it admits at the time of the feedback. When the offered
 * rate has fallen since, admitting that rate takes a larger fraction. The entry therefore recovers
 * from a surge without waiting for feedback, which is rare while the fraction is small.
 */
final class ChainState {
    /** Smaller falls of the offered rate may be chance. */
    private static final double MIN_FALL = 1.5;

    private final OfferedRate mOffered;
    private LevelEntry mLevels;
    private double mRateAtFeedback;

    ChainState(Map<String, Double> fractions, long nowNanos) {
        mOffered = new OfferedRate(nowNanos);
        mLevels = LevelEntry.first(fractions, nowNanos);
    }

    synchronized void learn(Map<String, Double> fractions, long nowNanos) {
        mLevels = mLevels.learn(fractions, nowNanos);
        mRateAtFeedback = mOffered.recentRate(nowNanos);
    }

    synchronized double offer(long nowNanos) {
        mOffered.arrived(nowNanos);
        return fraction(nowNanos);
    }

    synchronized double fraction(long nowNanos) {
        double rate = Math.max(1, mOffered.rate(nowNanos));
        double fall = mRateAtFeedback / rate;
        return Math.min(1, mLevels.lowest(nowNanos) * (fall > MIN_FALL ? fall : 1));
    }

    synchronized Map<String, Double> fractions(long nowNanos) {
        return mLevels.fractions(nowNanos);
    }

    synchronized boolean isExpired(long nowNanos) {
        return mLevels.isExpired(nowNanos);
    }

    synchronized long learntNanos() {
        return mLevels.learntNanos();
    }
}
