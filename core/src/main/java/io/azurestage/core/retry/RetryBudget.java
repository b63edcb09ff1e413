package io.azurestage.core.retry;

import io.azurestage.core.time.TimeSource;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * This node's share of the retry budget of a service, kept as a token bucket. The budget is kept
 * beside each server rather than at the entry nodes: a service has few servers, so each holds
 * several tokens, while hundreds of entry nodes would hold less than one each. Each request adds a
 * fraction of a token, and each node accrues an equal share of a constant rate. The bucket starts
 * empty, so that a restart does not refill it, and its capacity is a fraction of what accrues in
 * one window, so that the sum over all nodes stays within the bound in every window. Not
 * thread-safe.
 */
public final class RetryBudget {
    /** Fraction of the constant allowance that accrues in each window. */
    private static final double ACCRUED_FRACTION = 0.3;

    /** Fraction of the constant allowance that all nodes together may hold at once. */
    private static final double CAPACITY_FRACTION = 0.6;

    /** Fraction of the allowed ratio that is used; the rest is a margin for estimated sub-calls. */
    private static final double RATIO_FRACTION = 0.75;

    private static final class Bucket {
        private double mTokens;
        private long mRefilledAtNanos;
    }

    private final TimeSource mTime;
    private final double mRatio;
    private final double mAccruedPerWindow;
    private final double mTotalCapacity;
    private final Duration mWindow;
    private final Map<String, Bucket> mBuckets = new HashMap<>();
    private int mNodes = 1;

    /**
     * Creates an empty budget.
     *
     * @param time source of time
     * @param ratio number of retries allowed per request to a service
     * @param constant number of retries allowed per window in addition, for all nodes together
     * @param window length of the window
     */
    public RetryBudget(TimeSource time, double ratio, double constant, Duration window) {
        mTime = Objects.requireNonNull(time, "time");
        mRatio = ratio * RATIO_FRACTION;
        mAccruedPerWindow = constant * ACCRUED_FRACTION;
        mTotalCapacity = constant * CAPACITY_FRACTION;
        mWindow = window;
    }

    /**
     * Sets the number of nodes that share the budget.
     *
     * @param nodes number of nodes beside servers of the service; less than 1 counts as 1
     */
    public void setNodeCount(int nodes) {
        mNodes = Math.max(1, nodes);
    }

    /**
     * Records the first attempt of a request.
     *
     * @param service service that the request is sent to
     */
    public void recordRequest(String service) {
        Bucket b = bucket(service);
        b.mTokens = Math.min(capacity(), b.mTokens + mRatio);
    }

    /**
     * Takes a token for a retry.
     *
     * @param service service that the retry is sent to
     * @param reserve fraction of the capacity that must remain for more important work, in [0,1]
     * @return whether the retry may be sent
     */
    public boolean tryRetry(String service, double reserve) {
        Bucket b = bucket(service);
        // A full bucket always grants a retry, however many nodes share the budget.
        if (b.mTokens < Math.min(capacity(), 1 + reserve * capacity())) {
            return false;
        }
        b.mTokens--;
        return true;
    }

    /**
     * Takes a token for a request that is sent even if none is left, because it belongs to a
     * request that runs again. The number of tokens may become negative.
     *
     * @param service service that the request is sent to
     */
    public void charge(String service) {
        Bucket b = bucket(service);
        b.mTokens = Math.max(-capacity(), b.mTokens - 1);
    }

    /**
     * Returns the number of tokens left at this node.
     *
     * @param service name of the service
     * @return number of tokens, negative after {@link #charge} on an empty bucket
     */
    public double left(String service) {
        return bucket(service).mTokens;
    }

    private Bucket bucket(String service) {
        long now = mTime.nanos();
        Bucket b = mBuckets.get(service);
        if (b == null) {
            b = new Bucket();
            b.mRefilledAtNanos = now;
            mBuckets.put(service, b);
        }
        double accrued =
                (now - b.mRefilledAtNanos) * mAccruedPerWindow / mNodes / mWindow.toNanos();
        b.mRefilledAtNanos = now;
        b.mTokens = Math.min(capacity(), b.mTokens + accrued);
        return b;
    }

    private double capacity() {
        return Math.max(1, mTotalCapacity / mNodes);
    }
}
