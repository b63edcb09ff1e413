package io.azurestage.bench.standin;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/**
 * Calls the backend servers of the next service directly: a random server for each attempt, a fixed
 * timeout, and retries on any failure within a budget. Serves as the baseline without azurestage.
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
        mBudget = new RetryBudget(builder.mRetryFraction);
        mTimeout = builder.mTimeout;
        mRandom = new SplittableRandom(builder.mSeed);
    }

    /**
     * Creates a builder for the client of one backend server.
     *
     * @param runtime shared HTTP client
     * @param servers server addresses by service name
     * @return a builder without retries, with a timeout of 1 s
     */
    public static Builder builder(StandInRuntime runtime, Map<String, List<URI>> servers) {
        return new Builder(runtime, servers);
    }

    @Override
    public CompletableFuture<Reply> call(DownstreamCall call) {
        mBudget.recordCall();
        return attempt(call, 0);
    }

    private CompletableFuture<Reply> attempt(DownstreamCall call, int retry) {
        return mRuntime.send(
                        chooseServer(call.service()),
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

    private URI chooseServer(String service) {
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
        private double mRetryFraction = 1;
        private Duration mTimeout = Duration.ofSeconds(1);
        private long mSeed;

        private Builder(StandInRuntime runtime, Map<String, List<URI>> servers) {
            mRuntime = runtime;
            mServers = servers;
        }

        /**
         * Sets the retry limits.
         *
         * @param retries maximum number of retries of one call
         * @param fraction budget: retries as a fraction of the calls; 1 or more for no budget
         * @return this builder
         */
        public Builder retries(int retries, double fraction) {
            mRetries = retries;
            mRetryFraction = fraction;
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
         * Creates the client.
         *
         * @return a thread-safe client for the next services
         */
        public DirectDownstream build() {
            return new DirectDownstream(this);
        }
    }
}
