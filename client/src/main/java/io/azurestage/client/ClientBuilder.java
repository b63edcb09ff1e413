package io.azurestage.client;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.SplittableRandom;

/** Builds an {@link AzurestageClient}. */
public final class ClientBuilder {
    private static final int DEFAULT_MAX_BUFFERED = 1 << 20;
    private static final int DEFAULT_CONNECTIONS = 64;
    private static final int DEFAULT_ATTEMPTS = 3;

    private List<URI> mEntries = List.of();
    private Map<String, String> mPartnerHeaders = Map.of();
    private int mMaxAttempts = DEFAULT_ATTEMPTS;
    private int mRefusalRetries;
    private int mMaxBuffered = DEFAULT_MAX_BUFFERED;
    private int mConnectionsPerEntry = DEFAULT_CONNECTIONS;
    private long mSeed = System.nanoTime();

    ClientBuilder() {}

    /**
     * Sets the ingress addresses of the nodes to call.
     *
     * @param entries at least one address, for example {@code http://10.0.0.1:7000}
     * @return this builder
     */
    public ClientBuilder entries(List<URI> entries) {
        mEntries = List.copyOf(entries);
        return this;
    }

    /**
     * Sets the partner on whose behalf all calls are made.
     *
     * @param name the partner's name in the configuration
     * @param credential the partner's credential
     * @return this builder
     */
    public ClientBuilder partner(String name, String credential) {
        mPartnerHeaders =
                Map.of(
                        "Azurestage-Partner",
                        Objects.requireNonNull(name, "name"),
                        "Authorization",
                        "Bearer " + Objects.requireNonNull(credential, "credential"));
        return this;
    }

    /**
     * Limits the attempts of one call, counting retries after lost responses and after refusals.
     *
     * @param attempts at least 1; 3 if never set
     * @return this builder
     */
    public ClientBuilder maxAttempts(int attempts) {
        mMaxAttempts = atLeastOne(attempts, "maxAttempts");
        return this;
    }

    /**
     * Sets how often the client retries a call that was refused without having run. Before a retry
     * it waits at least for the time that the refusal gives; if the deadline is earlier, it does
     * not retry.
     *
     * @param retries retries of one call after refusals; 0 if never set
     * @return this builder
     */
    public ClientBuilder refusalRetries(int retries) {
        if (retries < 0) {
            throw new IllegalArgumentException("refusalRetries must not be negative: " + retries);
        }
        mRefusalRetries = retries;
        return this;
    }

    /**
     * Sets the length up to which response bodies are kept in memory.
     *
     * @param bytes at least 1; 1 MiB if never set
     * @return this builder
     */
    public ClientBuilder maxBuffered(int bytes) {
        mMaxBuffered = atLeastOne(bytes, "maxBuffered");
        return this;
    }

    /**
     * Limits the connections to each entry node.
     *
     * @param connections at least 1; 64 if never set
     * @return this builder
     */
    public ClientBuilder connectionsPerEntry(int connections) {
        mConnectionsPerEntry = atLeastOne(connections, "connectionsPerEntry");
        return this;
    }

    /**
     * Sets the seed of the random choice of entries and of the jitter, for reproducible
     * experiments.
     *
     * @param seed any number
     * @return this builder
     */
    public ClientBuilder seed(long seed) {
        mSeed = seed;
        return this;
    }

    /**
     * Starts the client.
     *
     * @return a client that must be closed
     */
    public AzurestageClient build() {
        if (mPartnerHeaders.isEmpty()) {
            throw new IllegalArgumentException("a partner is needed; call partner(name, secret)");
        }
        EntrySelector entries = new EntrySelector(mEntries, new SplittableRandom(mSeed));
        JettyTransport transport = new JettyTransport(mMaxBuffered, mConnectionsPerEntry);
        return new AzurestageClient(
                transport,
                new CallRunner.Services(
                        transport,
                        entries,
                        transport::after,
                        new RetryLimits(mMaxAttempts, mRefusalRetries),
                        System::nanoTime,
                        new Random(mSeed),
                        mPartnerHeaders));
    }

    private static int atLeastOne(int value, String name) {
        if (value < 1) {
            throw new IllegalArgumentException(name + " must be at least 1, not " + value);
        }
        return value;
    }
}
