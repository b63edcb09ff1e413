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
 * Attributes calls of a backend server to the requests that it runs. A call carries no id of its
 * parent, but it expires no later than its parent, and mostly at the same time. Requests with the
 * call's deadline are therefore preferred. For those that remain, the rate of calls per running
 * request is estimated for each pair of an operation that runs and one that is called, and the call
 * is attributed in proportion to these rates. Not thread-safe.
 */
public final class CallAttribution {
    private static final double HALF_LIFE_SECONDS = 10;

    /** Seconds of running assumed before a chain was seen, so that first calls do not decide. */
    private static final double PRIOR_SECONDS = 1;

    private static final double PRIOR_CALLS = 0.5;

    /** Requests after which the estimates of two chains that run together have parted. */
    private static final double ENOUGH_STARTS = 100;

    /** The same when the calls expired with their parents, which leaves little doubt. */
    private static final double ENOUGH_SURE_STARTS = 20;

    /** Calls a request that are not explained by wrong attribution. */
    private static final double SURE_CALLS = 0.6;

    private static final int MAX_CHAINS = 256;

    /** Counts fade in steps of this length, short beside their half-life. */
    private static final double FADE_SECONDS = 0.05;

    /**
     * Usual difference between the deadlines of a parent and of its call: the remaining time is
     * sent in whole milliseconds twice, to the server and from it, and half of one is cut off each
     * time.
     */
    private static final double USUAL_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** Half of the range in which deadlines that belong together differ by more or less. */
    private static final double GAP_WIDTH_NANOS = TimeUnit.MICROSECONDS.toNanos(500);

    /** Deadlines that differ by more do not belong together; a busy node reads late. */
    private static final double MAX_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(4);

    private static final class Chain {
        private final Map<String, Double> mCalls = new HashMap<>();
        private final Map<String, Double> mSureCalls = new HashMap<>();
        private final List<CallSource> mRunning = new ArrayList<>();
        private double mSeconds = PRIOR_SECONDS;
        private double mStarts;
        private final Set<CallSource> mFailed = new HashSet<>();
        private double mWeight;
        private long mAt;

        Chain(long nowNanos) {
            mAt = nowNanos;
        }

        /** Adds the time for which the requests have run since the last call. */
        private void advance(long nowNanos) {
            mSeconds += mRunning.size() * Math.max(0, (nowNanos - mAt) / 1e9);
            mAt = nowNanos;
        }

        private void fade(double keep) {
            mSeconds = PRIOR_SECONDS + (mSeconds - PRIOR_SECONDS) * keep;
            mStarts *= keep;
            mCalls.replaceAll((op, n) -> n * keep);
            mSureCalls.replaceAll((op, n) -> n * keep);
        }

        /** Two requests may be alike in all fields, so the very one is looked for. */
        private int indexOf(CallSource s) {
            for (int i = 0; i < mRunning.size(); i++) {
                if (mRunning.get(i) == s) {
                    return i;
                }
            }
            return -1;
        }

        private void remove(CallSource s) {
            int at = indexOf(s);
            if (at >= 0) {
                mRunning.remove(at);
                mFailed.remove(s);
            }
        }

        /** Estimated calls of an operation for each second that a request runs. */
        private double rate(String operation) {
            return (PRIOR_CALLS + mCalls.getOrDefault(operation, 0.0)) / mSeconds;
        }
    }

    private final TimeSource mTime;
    private final RandomGenerator mRandom;
    private final Map<String, Chain> mChains = new HashMap<>();
    private long mFaded;
    private long mFailedInDoubt;

    /**
     * Creates an empty estimate.
     *
     * @param time source of time
     * @param random draws the parent of a call
     */
    public CallAttribution(TimeSource time, RandomGenerator random) {
        mTime = Objects.requireNonNull(time, "time");
        mRandom = random;
        mFaded = time.nanos();
    }

    /**
     * Notes that a request starts to run.
     *
     * @param s the request
     */
    public void started(CallSource s) {
        long now = mTime.nanos();
        fade(now);
        if (mChains.size() >= MAX_CHAINS) {
            mChains.values().removeIf(c -> c.mRunning.isEmpty());
        }
        Chain c = mChains.get(s.chain().operation());
        if (c == null) {
            c = new Chain(now);
            mChains.put(s.chain().operation(), c);
        }
        c.advance(now);
        c.mRunning.add(s);
        c.mStarts++;
    }

    /**
     * Notes that a request no longer runs.
     *
     * @param s the request, as given to {@link #started}
     */
    public void ended(CallSource s) {
        Chain c = mChains.get(s.chain().operation());
        if (c != null) {
            c.advance(mTime.nanos());
            c.remove(s);
        }
    }

    /**
     * Notes that a call has failed, so that a failure of the request that made it is not taken for
     * one of the server.
     *
     * @param parent the request, as {@link #attribute} returned it
     */
    public void callFailed(CallSource parent) {
        Chain c = mChains.get(parent.chain().operation());
        if (c != null && c.indexOf(parent) >= 0) {
            c.mFailed.add(parent);
        } else {
            mFailedInDoubt = mTime.nanos();
        }
    }

    /**
     * Reports whether a call of a running request has failed, or may have.
     *
     * @param s the request, as given to {@link #started}
     * @param startedNanos monotonic time at which it started
     * @return whether one of its calls, or one whose parent is not known for sure, has failed
     */
    public boolean hasFailedCall(CallSource s, long startedNanos) {
        Chain c = mChains.get(s.chain().operation());
        boolean doubt = mFailedInDoubt != 0 && mFailedInDoubt - startedNanos >= 0;
        return doubt || c != null && c.mFailed.contains(s);
    }

    /**
     * Attributes a call.
     *
     * @param operation called operation
     * @param deadlineNanos monotonic time at which the server gives up the call
     * @return the request that probably made it, or empty if none runs
     */
    public Optional<CallSource> attribute(String operation, long deadlineNanos) {
        fade(mTime.nanos());
        Optional<CallSource> same = choose(operation, s -> likelihood(s, deadlineNanos));
        if (same.isPresent()) {
            Chain c = mChains.get(same.get().chain().operation());
            c.mSureCalls.merge(operation, 1.0, Double::sum);
            return same;
        }
        Optional<CallSource> later =
                choose(operation, s -> s.deadlineNanos() - deadlineNanos > 0 ? 1 : 0);
        Optional<CallSource> any = later.isPresent() ? later : choose(operation, s -> 1);
        return any.map(CallSource::withUnknownOrder);
    }

    /** Likelihood that a request and a call with this deadline belong together, up to a factor. */
    private static double likelihood(CallSource s, long deadlineNanos) {
        double gap = s.deadlineNanos() - deadlineNanos;
        double off = (gap - USUAL_GAP_NANOS) / GAP_WIDTH_NANOS;
        return Math.abs(gap) > MAX_GAP_NANOS ? 0 : Math.exp(-Math.abs(off));
    }

    private Optional<CallSource> choose(String operation, ToDoubleFunction<CallSource> likelihood) {
        long now = mTime.nanos();
        CallSource chosen = null;
        double sum = 0;
        for (Chain c : mChains.values()) {
            c.advance(now);
            double rate = c.rate(operation);
            double before = sum;
            for (CallSource s : c.mRunning) {
                double weight = rate * likelihood.applyAsDouble(s);
                sum += weight;
                if (weight > 0 && mRandom.nextDouble() * sum < weight) {
                    chosen = s;
                }
            }
            c.mWeight = sum - before;
        }
        if (chosen != null) {
            for (Chain c : mChains.values()) {
                c.mCalls.merge(operation, c.mWeight / sum, Double::sum);
            }
        }
        return Optional.ofNullable(chosen);
    }

    /**
     * Returns how many calls a request of a chain makes on average.
     *
     * @param chain the chain
     * @return calls of all operations for each request, 0 if none is known
     */
    public double callsPerRequest(ChainKey chain) {
        Chain c = mChains.get(chain.operation());
        if (c == null || c.mStarts < 1) {
            return 0;
        }
        double sum = 0;
        for (double n : c.mCalls.values()) {
            sum += n;
        }
        return sum / c.mStarts;
    }

    /**
     * Reports whether requests of a chain surely make calls of an operation.
     *
     * @param chain the chain
     * @param operation called operation
     * @return whether a good part of enough requests has made such a call
     */
    public boolean makesCalls(ChainKey chain, String operation) {
        Chain c = mChains.get(chain.operation());
        if (c == null || c.mStarts < ENOUGH_SURE_STARTS) {
            return false;
        }
        double needed = SURE_CALLS * c.mStarts;
        return c.mSureCalls.getOrDefault(operation, 0.0) >= needed
                || c.mStarts >= ENOUGH_STARTS && c.mCalls.getOrDefault(operation, 0.0) >= needed;
    }

    private void fade(long nowNanos) {
        double seconds = (nowNanos - mFaded) / 1e9;
        if (seconds < FADE_SECONDS) {
            return;
        }
        mFaded = nowNanos;
        double keep = Math.pow(0.5, seconds / HALF_LIFE_SECONDS);
        for (Chain c : mChains.values()) {
            c.fade(keep);
            c.advance(nowNanos);
        }
    }
}
