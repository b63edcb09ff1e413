package io.azurestage.core.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Services reached by one chain and its offered rate at this entry node. Thread-safe.
 *
 * <p>A fraction corresponds to an admitted rate at the time of the feedback. If the offered rate
 * has fallen since, a larger fraction admits the same rate. The entry therefore recovers from a
 * surge without waiting for feedback, which is rare while the fraction is small.
 */
final class ChainState {
    /** Smaller decreases of the offered rate may be random variation. */
    private static final double MIN_RATE_DROP = 1.5;

    private static final int MAX_SERVICES = 256;

    private final ServiceFractions mTable;
    private final OfferedRate mOfferedRate;
    private final Set<String> mServices = new HashSet<>();
    private long mFeedbackNanos;
    private long mLastAnswerNanos;
    private double mRateAtFeedback;

    ChainState(ServiceFractions table, long nowNanos) {
        mTable = table;
        mOfferedRate = new OfferedRate(nowNanos);
        mFeedbackNanos = nowNanos;
        mLastAnswerNanos = nowNanos;
    }

    /** Records that a response of this chain carried feedback from a service. */
    synchronized void reaches(String service, long nowNanos) {
        mLastAnswerNanos = nowNanos;
        if (mServices.size() < MAX_SERVICES) {
            mServices.add(service);
        }
    }

    /** Counts an arrival and returns the fraction to admit. */
    synchronized double offer(long nowNanos) {
        mOfferedRate.arrived(nowNanos);
        return fraction(nowNanos);
    }

    synchronized double fraction(long nowNanos) {
        detectFeedback(nowNanos);
        double lowest = 1;
        for (String service : mServices) {
            lowest = Math.min(lowest, mTable.fraction(service, nowNanos));
        }
        double rateDrop = mRateAtFeedback / Math.max(1, mOfferedRate.rate(nowNanos));
        return Math.min(1, lowest * (rateDrop > MIN_RATE_DROP ? rateDrop : 1));
    }

    /** Responses of other chains and classes update the table too, so updates are detected here. */
    private void detectFeedback(long nowNanos) {
        long latest = feedbackNanos();
        if (latest != mFeedbackNanos) {
            mFeedbackNanos = latest;
            mRateAtFeedback = mOfferedRate.recentRate(nowNanos);
        }
    }

    synchronized Map<String, Double> fractions(long nowNanos) {
        Map<String, Double> fractionsBelowOne = new HashMap<>();
        for (String service : mServices) {
            double f = mTable.fraction(service, nowNanos);
            if (f < 1) {
                fractionsBelowOne.put(service, f);
            }
        }
        return Map.copyOf(fractionsBelowOne);
    }

    synchronized boolean isExpired(long nowNanos) {
        return fractions(nowNanos).isEmpty();
    }

    /** Returns the time of the last response of this chain, by which chains are evicted. */
    synchronized long lastAnswerNanos() {
        return mLastAnswerNanos;
    }

    private long feedbackNanos() {
        long latest = mFeedbackNanos;
        for (String service : mServices) {
            long updated = mTable.feedbackNanos(service, latest);
            latest = updated - latest > 0 ? updated : latest;
        }
        return latest;
    }
}
