package io.azurestage.core.calls;

import io.azurestage.core.admission.ChainKey;
import io.azurestage.core.time.TimeSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Attributes calls of a backend server to the requests that it runs. A call carries no id of its
 * parent, so for each pair of an operation that runs and one that is called the rate of calls per
 * running request is estimated, and a call is attributed in proportion to these rates. With many
 * requests at once a single attribution may be wrong, but the proportions are right, which is what
 * demand by class needs. Not thread-safe.
 */
public final class CallAttribution {
    private static final double HALF_LIFE_SECONDS = 10;

    /** Seconds of running assumed before a chain was seen, so that first calls do not decide. */
    private static final double PRIOR_SECONDS = 1;

    private static final double PRIOR_CALLS = 0.5;

    /** Requests after which the estimates of two chains that run together have parted. */
    private static final double ENOUGH_STARTS = 100;

    /** Calls a request that are not explained by wrong attribution. */
    private static final double SURE_CALLS = 0.6;

    private static final int MAX_CHAINS = 256;

    private static final class Chain {
        private final Map<String, Double> mCalls = new HashMap<>();
        private final List<CallSource> mRunning = new ArrayList<>();
        private double mSeconds = PRIOR_SECONDS;
        private double mStarts;
    }

    private final TimeSource mTime;
    private final RandomGenerator mRandom;
    private final Map<String, Chain> mChains = new HashMap<>();
    private long mLast;

    /**
     * Creates an empty estimate.
     *
     * @param time source of time
     * @param random draws the parent of a call
     */
    public CallAttribution(TimeSource time, RandomGenerator random) {
        mTime = Objects.requireNonNull(time, "time");
        mRandom = random;
        mLast = time.nanos();
    }

    /**
     * Notes that a request starts to run.
     *
     * @param s the request
     */
    public void started(CallSource s) {
        advance();
        if (mChains.size() >= MAX_CHAINS) {
            mChains.values().removeIf(c -> c.mRunning.isEmpty());
        }
        Chain c = mChains.computeIfAbsent(s.chain().operation(), k -> new Chain());
        c.mRunning.add(s);
        c.mStarts++;
    }

    /**
     * Notes that a request no longer runs.
     *
     * @param s the request, as given to {@link #started}
     */
    public void ended(CallSource s) {
        advance();
        Chain c = mChains.get(s.chain().operation());
        if (c != null) {
            c.mRunning.remove(s);
        }
    }

    /**
     * Attributes a call.
     *
     * @param operation called operation
     * @return the request that probably made it, or empty if none runs
     */
    public Optional<CallSource> attribute(String operation) {
        advance();
        double sum = 0;
        for (Chain c : mChains.values()) {
            sum += weight(c, operation);
        }
        if (sum <= 0) {
            return Optional.empty();
        }
        double draw = mRandom.nextDouble() * sum;
        Chain chosen = null;
        for (Chain c : mChains.values()) {
            double w = weight(c, operation);
            if (w <= 0) {
                continue;
            }
            c.mCalls.merge(operation, w / sum, Double::sum);
            if (chosen == null && draw < w) {
                chosen = c;
            }
            draw -= w;
        }
        if (chosen == null) {
            return Optional.empty();
        }
        List<CallSource> running = chosen.mRunning;
        return Optional.of(running.get(mRandom.nextInt(running.size())));
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
        return c.mCalls.values().stream().mapToDouble(n -> n).sum() / c.mStarts;
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
        return c != null
                && c.mStarts >= ENOUGH_STARTS
                && c.mCalls.getOrDefault(operation, 0.0) >= SURE_CALLS * c.mStarts;
    }

    private double weight(Chain c, String operation) {
        if (c.mRunning.isEmpty()) {
            return 0;
        }
        double calls = PRIOR_CALLS + c.mCalls.getOrDefault(operation, 0.0);
        return c.mRunning.size() * calls / c.mSeconds;
    }

    private void advance() {
        long now = mTime.nanos();
        double seconds = Math.max(0, (now - mLast) / 1e9);
        if (seconds <= 0) {
            return;
        }
        mLast = now;
        double keep = Math.pow(0.5, seconds / HALF_LIFE_SECONDS);
        for (Chain c : mChains.values()) {
            c.mSeconds = PRIOR_SECONDS + (c.mSeconds - PRIOR_SECONDS) * keep;
            c.mSeconds += c.mRunning.size() * seconds;
            c.mStarts *= keep;
            c.mCalls.replaceAll((op, n) -> n * keep);
        }
    }
}
