package io.azurestage.core.calls;

import io.azurestage.core.admission.ChainKey;
import io.azurestage.core.time.TimeSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Attributes the calls of a backend server to the requests that it is running. A call carries no id
 * of its parent request, but its deadline is no later than that of its parent, and usually the
 * same. Requests whose deadline matches that of the call are therefore preferred. Among the
 * candidates, the parent is drawn in proportion to the estimated call rate per running request,
 * which is kept for each pair of running and called operation. Not thread-safe.
 */
public final class CallAttribution {
    private static final double HALF_LIFE_SECONDS = 10;

    /** Running time assumed initially, so that the first calls do not dominate the estimate. */
    private static final double PRIOR_SECONDS = 1;

    private static final double PRIOR_CALLS = 0.5;

    /**
     * Requests after which the estimates of two operations that run concurrently differ clearly.
     */
    private static final double MIN_STARTS = 100;

    /** The same for calls whose deadlines match those of their parents, which is more certain. */
    private static final double MIN_MATCHED_STARTS = 20;

    /** Calls per request that cannot be explained by wrong attribution. */
    private static final double MIN_CALLS_PER_REQUEST = 0.6;

    private static final int MAX_OPERATIONS = 256;

    /** Interval between decay steps of the counts, short compared with their half-life. */
    private static final double DECAY_INTERVAL_SECONDS = 0.05;

    /**
     * Typical difference between the deadlines of a parent and its call: the remaining time is sent
     * in whole milliseconds twice, to the server with the request and by the server with the call,
     * and truncation loses half a millisecond on average each time.
     */
    private static final double TYPICAL_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** Scale of the deviation from the typical gap over which the likelihood decays. */
    private static final double GAP_SCALE_NANOS = TimeUnit.MICROSECONDS.toNanos(500);

    /** Maximum gap between matching deadlines; a busy node reads the remaining time late. */
    private static final double MAX_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(4);

    /** Call counts and running requests of one operation. */
    private static final class OperationStats {
        private final Map<String, Double> mCalls = new HashMap<>();
        private final Map<String, Double> mMatchedCalls = new HashMap<>();
        private final List<ParentRequest> mRunning = new ArrayList<>();
        private double mRunningSeconds = PRIOR_SECONDS;
        private double mStarts;
        private final Set<ParentRequest> mWithFailedCall = new HashSet<>();
        private double mWeight;
        private long mUpdatedNanos;

        OperationStats(long nowNanos) {
            mUpdatedNanos = nowNanos;
        }

        /** Adds the running time of the requests since the previous update. */
        private void advance(long nowNanos) {
            mRunningSeconds += mRunning.size() * Math.max(0, (nowNanos - mUpdatedNanos) / 1e9);
            mUpdatedNanos = nowNanos;
        }

        private void decay(double keepRatio) {
            mRunningSeconds = PRIOR_SECONDS + (mRunningSeconds - PRIOR_SECONDS) * keepRatio;
            mStarts *= keepRatio;
            mCalls.replaceAll((op, n) -> n * keepRatio);
            mMatchedCalls.replaceAll((op, n) -> n * keepRatio);
        }

        /** Compares by identity, because two requests may be equal in all fields. */
        private int indexOf(ParentRequest s) {
            for (int i = 0; i < mRunning.size(); i++) {
                if (mRunning.get(i) == s) {
                    return i;
                }
            }
            return -1;
        }

        private void remove(ParentRequest s) {
            int index = indexOf(s);
            if (index >= 0) {
                mRunning.remove(index);
                mWithFailedCall.remove(s);
            }
        }

        /** Returns the estimated calls of an operation per second and running request. */
        private double rate(String operation) {
            return (PRIOR_CALLS + mCalls.getOrDefault(operation, 0.0)) / mRunningSeconds;
        }
    }

    private final TimeSource mTime;
    private final RandomGenerator mRandom;
    private final Map<String, OperationStats> mOperations = new HashMap<>();
    private long mDecayedNanos;
    private long mUnmatchedFailureNanos;

    /**
     * Creates an empty estimate.
     *
     * @param time source of time
     * @param random source of randomness for drawing the parent of a call
     */
    public CallAttribution(TimeSource time, RandomGenerator random) {
        mTime = Objects.requireNonNull(time, "time");
        mRandom = random;
        mDecayedNanos = time.nanos();
    }

    /**
     * Records that a request has started to run.
     *
     * @param s the request
     */
    public void requestStarted(ParentRequest s) {
        long now = mTime.nanos();
        decay(now);
        if (mOperations.size() >= MAX_OPERATIONS) {
            mOperations.values().removeIf(stats -> stats.mRunning.isEmpty());
        }
        OperationStats stats = mOperations.get(s.chain().operation());
        if (stats == null) {
            stats = new OperationStats(now);
            mOperations.put(s.chain().operation(), stats);
        }
        stats.advance(now);
        stats.mRunning.add(s);
        stats.mStarts++;
    }

    /**
     * Records that a request has ended.
     *
     * @param s the request, as given to {@link #requestStarted}
     */
    public void requestEnded(ParentRequest s) {
        OperationStats stats = mOperations.get(s.chain().operation());
        if (stats != null) {
            stats.advance(mTime.nanos());
            stats.remove(s);
        }
    }

    /**
     * Records that a call has failed, so that a resulting failure of its parent request is not
     * counted as a failure of the server.
     *
     * @param parent the request, as {@link #attribute} returned it
     */
    public void recordFailedCall(ParentRequest parent) {
        OperationStats stats = mOperations.get(parent.chain().operation());
        if (stats != null && stats.indexOf(parent) >= 0) {
            stats.mWithFailedCall.add(parent);
        } else {
            mUnmatchedFailureNanos = mTime.nanos();
        }
    }

    /**
     * Reports whether a call of a running request has failed, or may have.
     *
     * @param s the request, as given to {@link #requestStarted}
     * @param startedNanos monotonic time at which it started
     * @return whether one of its calls, or one whose parent is uncertain, has failed
     */
    public boolean hasFailedCall(ParentRequest s, long startedNanos) {
        OperationStats stats = mOperations.get(s.chain().operation());
        boolean mayHaveFailed =
                mUnmatchedFailureNanos != 0 && mUnmatchedFailureNanos - startedNanos >= 0;
        return mayHaveFailed || stats != null && stats.mWithFailedCall.contains(s);
    }

    /**
     * Attributes a call to a running request.
     *
     * @param operation called operation
     * @param deadlineNanos monotonic time at which the server abandons the call
     * @return a request that probably made the call, or empty if none is running
     */
    public Optional<ParentRequest> attribute(String operation, long deadlineNanos) {
        decay(mTime.nanos());
        Optional<ParentRequest> matching = choose(operation, s -> likelihood(s, deadlineNanos));
        if (matching.isPresent()) {
            OperationStats stats = mOperations.get(matching.get().chain().operation());
            stats.mMatchedCalls.merge(operation, 1.0, Double::sum);
            return matching;
        }
        Optional<ParentRequest> expiringLater =
                choose(operation, s -> s.deadlineNanos() - deadlineNanos > 0 ? 1 : 0);
        Optional<ParentRequest> any =
                expiringLater.isPresent() ? expiringLater : choose(operation, s -> 1);
        return any.map(ParentRequest::withUnknownRank);
    }

    /**
     * Returns a value proportional to the likelihood that a request made a call with a deadline.
     */
    private static double likelihood(ParentRequest s, long deadlineNanos) {
        double gap = s.deadlineNanos() - deadlineNanos;
        double deviation = (gap - TYPICAL_GAP_NANOS) / GAP_SCALE_NANOS;
        return Math.abs(gap) > MAX_GAP_NANOS ? 0 : Math.exp(-Math.abs(deviation));
    }

    private Optional<ParentRequest> choose(
            String operation, ToDoubleFunction<ParentRequest> likelihood) {
        long now = mTime.nanos();
        ParentRequest chosen = null;
        double sum = 0;
        for (OperationStats stats : mOperations.values()) {
            stats.advance(now);
            double rate = stats.rate(operation);
            double previousSum = sum;
            for (ParentRequest s : stats.mRunning) {
                double weight = rate * likelihood.applyAsDouble(s);
                sum += weight;
                if (weight > 0 && mRandom.nextDouble() * sum < weight) {
                    chosen = s;
                }
            }
            stats.mWeight = sum - previousSum;
        }
        if (chosen != null) {
            for (OperationStats stats : mOperations.values()) {
                stats.mCalls.merge(operation, stats.mWeight / sum, Double::sum);
            }
        }
        return Optional.ofNullable(chosen);
    }

    /**
     * Returns the mean number of calls that a request of a chain makes.
     *
     * @param chain the chain
     * @return calls of all operations per request, 0 if no request of the chain has been seen
     */
    public double callsPerRequest(ChainKey chain) {
        OperationStats stats = mOperations.get(chain.operation());
        if (stats == null || stats.mStarts < 1) {
            return 0;
        }
        double sum = 0;
        for (double n : stats.mCalls.values()) {
            sum += n;
        }
        return sum / stats.mStarts;
    }

    /**
     * Reports whether it is certain that requests of a chain call an operation.
     *
     * @param chain the chain
     * @param operation called operation
     * @return whether enough requests have been seen and enough of them have made such a call
     */
    public boolean isKnownCaller(ChainKey chain, String operation) {
        OperationStats stats = mOperations.get(chain.operation());
        if (stats == null || stats.mStarts < MIN_MATCHED_STARTS) {
            return false;
        }
        double neededCalls = MIN_CALLS_PER_REQUEST * stats.mStarts;
        return stats.mMatchedCalls.getOrDefault(operation, 0.0) >= neededCalls
                || stats.mStarts >= MIN_STARTS
                        && stats.mCalls.getOrDefault(operation, 0.0) >= neededCalls;
    }

    private void decay(long nowNanos) {
        double elapsedSeconds = (nowNanos - mDecayedNanos) / 1e9;
        if (elapsedSeconds < DECAY_INTERVAL_SECONDS) {
            return;
        }
        mDecayedNanos = nowNanos;
        double keepRatio = Math.pow(0.5, elapsedSeconds / HALF_LIFE_SECONDS);
        for (OperationStats stats : mOperations.values()) {
            stats.decay(keepRatio);
            stats.advance(nowNanos);
        }
    }
}
