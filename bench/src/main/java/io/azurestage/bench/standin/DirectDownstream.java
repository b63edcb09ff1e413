package io.azurestage.bench.standin;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/**
 * Calls the backend servers of the next service directly: a random server for each attempt, a fixed
 * timeout, and retries on any failure within a budget. This is the baseline without azurestage.
 */
public final class DirectDownstream implements Downstream {
    private final StandInRuntime mRuntime;
    private final Map<String, List<URI>> mServers;
    private final int mRetries;
    private final RetryBudget mBudget;
    private final Duration mTimeout;
    private final SplittableRandom mRandom;

    private DirectDownstream(Builder builder) {
        mRuntime = builder.mRuntime;
        mServers = builder.mServers;
        mRetries = builder.mRetries;
        mBudget = new RetryBudget(builder.mFraction);
        mTimeout = builder.mTimeout;
        mRandom = new SplittableRandom(builder.mSeed);
    }

    /**
     * Starts to describe the calls of one backend server.
     *
     * @param runtime shared HTTP client
     * @param servers addresses by service
     * @return a builder
     */
    public static Builder builder(StandInRuntime runtime, Map<String, List<URI>> servers) {
        return new Builder(runtime, servers);
    }

    @Override
    public CompletableFuture<Reply> call(DownstreamCall call) {
        mBudget.called();
        return attempt(call, 0);
    }

    private CompletableFuture<Reply> attempt(DownstreamCall call, int retry) {
        return mRuntime.send(
                        pick(call.service()),
                        call.method(),
                        call.path(),
                        call.headers(),
                        call.body(),
                        mTimeout)
                .thenCompose(
                        reply ->
                                reply.ok() || retry == mRetries || !mBudget.tryRetry()
                                        ? CompletableFuture.completedFuture(reply)
                                        : attempt(call, retry + 1));
    }

    private URI pick(String service) {
        List<URI> servers = mServers.get(service);
        synchronized (mRandom) {
            return servers.get(mRandom.nextInt(servers.size()));
        }
    }

    /** Builds a {@link DirectDownstream}. */
    public static final class Builder {
        private final StandInRuntime mRuntime;
        private final Map<String, List<URI>> mServers;
        private int mRetries;
        private double mFraction = 1;
        private Duration mTimeout = Duration.ofSeconds(1);
        private long mSeed;

        private Builder(StandInRuntime runtime, Map<String, List<URI>> servers) {
            mRuntime = runtime;
            mServers = servers;
        }

        /**
         * Sets the retries.
         *
         * @param retries retries of one call
         * @param fraction retries over calls of this server; 1 or more for no budget
         * @return this builder
         */
        public Builder retries(int retries, double fraction) {
            mRetries = retries;
            mFraction = fraction;
            return this;
        }

        /**
         * Sets the timeout of each attempt.
         *
         * @param timeout time for the whole exchange
         * @return this builder
         */
        public Builder timeout(Duration timeout) {
            mTimeout = timeout;
            return this;
        }

        /**
         * Sets the seed of the random choice of servers.
         *
         * @param seed any number
         * @return this builder
         */
        public Builder seed(long seed) {
            mSeed = seed;
            return this;
        }

        /**
         * Returns the way to the next services.
         *
         * @return a thread-safe object
         */
        public DirectDownstream build() {
            return new DirectDownstream(this);
        }
    }
}
