package io.azurestage.core.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Services and offered rate of one chain. Thread-safe.
 *
 * <p>A fraction stands for the rate that it admits at the time of the feedback. When the offered
 * rate has fallen since, admitting that rate takes a larger fraction. The entry therefore recovers
 * from a surge without waiting for feedback, which is rare while the fraction is small.
 */
final class ChainState {
    /** Smaller falls of the offered rate may be chance. */
    private static final double MIN_FALL = 1.5;

    private static final int MAX_SERVICES = 256;

    private final LevelTable mTable;
    private final OfferedRate mOffered;
    private final Set<String> mServices = new HashSet<>();
    private long mLearnt;
    private long mAnswered;
    private double mRateAtFeedback;

    ChainState(LevelTable table, long nowNanos) {
        mTable = table;
        mOffered = new OfferedRate(nowNanos);
        mLearnt = nowNanos;
        mAnswered = nowNanos;
    }

    /** Notes that an answer of this chain came from a service. */
    synchronized void reaches(String service, long nowNanos) {
        mAnswered = nowNanos;
        if (mServices.size() < MAX_SERVICES) {
            mServices.add(service);
        }
    }

    synchronized double offer(long nowNanos) {
        mOffered.arrived(nowNanos);
        return fraction(nowNanos);
    }

    synchronized double fraction(long nowNanos) {
        noteFeedback(nowNanos);
        double lowest = 1;
        for (String service : mServices) {
            lowest = Math.min(lowest, mTable.fraction(service, nowNanos));
        }
        double fall = mRateAtFeedback / Math.max(1, mOffered.rate(nowNanos));
        return Math.min(1, lowest * (fall > MIN_FALL ? fall : 1));
    }

    /** Feedback comes on answers of other chains and classes too, so it is noted when read. */
    private void noteFeedback(long nowNanos) {
        long latest = learntNanos();
        if (latest != mLearnt) {
            mLearnt = latest;
            mRateAtFeedback = mOffered.recentRate(nowNanos);
        }
    }

    synchronized Map<String, Double> fractions(long nowNanos) {
        Map<String, Double> below = new HashMap<>();
        for (String service : mServices) {
            double f = mTable.fraction(service, nowNanos);
            if (f < 1) {
                below.put(service, f);
            }
        }
        return Map.copyOf(below);
    }

    synchronized boolean isExpired(long nowNanos) {
        return fractions(nowNanos).isEmpty();
    }

    /** When the last answer of this chain came, for forgetting the oldest chains. */
    synchronized long answeredNanos() {
        return mAnswered;
    }

    private long learntNanos() {
        long latest = mLearnt;
        for (String service : mServices) {
            long learnt = mTable.learntNanos(service, latest);
            latest = learnt - latest > 0 ? learnt : latest;
        }
        return latest;
    }
}
