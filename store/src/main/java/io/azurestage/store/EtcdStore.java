package io.azurestage.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * {@link PlatformStore} over the JSON gateway of etcd's v3 API. Thread-safe. Uses a few daemon
 * threads, independent of the number of calls and watches.
 *
 * <p>A call goes to the endpoint that answered last. A read that fails is repeated at the next
 * endpoint. A write is repeated only if no byte of it was sent; otherwise its outcome is {@link
 * WriteResult.MaybeApplied}.
 *
 * <p>Example:
 *
 * <pre>{@code
 * URI endpoint = URI.create("http://127.0.0.1:2379");
 * try (PlatformStore store = EtcdStore.connect(List.of(endpoint), Duration.ofSeconds(2))) {
 *     ReadResult config = store.get("azurestage/config", false).join();
 * }
 * }</pre>
 */
public final class EtcdStore implements PlatformStore {
    /** Maximum size of a value that the service accepts, in bytes. */
    public static final int MAX_VALUE_BYTES = 1_000_000;

    private static final Duration MIN_LEASE = Duration.ofSeconds(1);

    private final EtcdHttp mHttp;

    private EtcdStore(EtcdHttp http) {
        mHttp = http;
    }

    /**
     * Creates a client of the store. It connects at the first call.
     *
     * @param endpoints base URIs such as {@code http://127.0.0.1:2379}, at least one
     * @param timeout time limit of an attempt at one endpoint
     * @return a store, to be closed by the caller
     * @throws IllegalArgumentException if there is no endpoint, an endpoint is not an HTTP URI, or
     *     the timeout is not positive
     */
    public static EtcdStore connect(List<URI> endpoints, Duration timeout) {
        if (endpoints.isEmpty()) {
            throw new IllegalArgumentException("no store endpoint; name at least one");
        }
        for (URI u : endpoints) {
            if (!"http".equals(u.getScheme()) || u.getHost() == null) {
                throw new IllegalArgumentException(
                        "store endpoint " + u + " is not of the form http://HOST:PORT");
            }
        }
        if (timeout.isNegative() || timeout.isZero()) {
            throw new IllegalArgumentException("store timeout " + timeout + " is not positive");
        }
        return new EtcdStore(new EtcdHttp(endpoints, timeout));
    }

    @Override
    public CompletableFuture<ReadResult> get(String key, boolean prefix) {
        return mHttp.call("/v3/kv/range", EtcdJson.range(key, prefix), true)
                .thenApply(
                        r ->
                                decode(
                                        r,
                                        EtcdStore::decodeRead,
                                        ReadResult.Unavailable::new,
                                        ReadResult.Unavailable::new));
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(
            String key, long expectedRevision, byte[] value, long lease) {
        Objects.requireNonNull(key, "key");
        if (expectedRevision < ABSENT) {
            throw new IllegalArgumentException("negative revision " + expectedRevision);
        }
        if (value.length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException(
                    "value of " + value.length + " bytes exceeds the limit of " + MAX_VALUE_BYTES);
        }
        String body = EtcdJson.compareAndSwap(key, expectedRevision, value, lease);
        return mHttp.call("/v3/kv/txn", body, false)
                .thenApply(
                        r ->
                                decode(
                                        r,
                                        EtcdStore::decodeWrite,
                                        WriteResult.MaybeApplied::new,
                                        WriteResult.Unavailable::new));
    }

    @Override
    public CompletableFuture<LeaseResult> grantLease(Duration timeToLive) {
        if (timeToLive.compareTo(MIN_LEASE) < 0) {
            throw new IllegalArgumentException(
                    "lease of " + timeToLive + " is shorter than one second");
        }
        return callLease("/v3/lease/grant", EtcdJson.grant(timeToLive.toSeconds()));
    }

    @Override
    public CompletableFuture<LeaseResult> keepAlive(long lease) {
        return callLease("/v3/lease/keepalive", EtcdJson.keepAlive(lease));
    }

    private CompletableFuture<LeaseResult> callLease(String path, String body) {
        return mHttp.call(path, body, false)
                .thenApply(
                        r ->
                                decode(
                                        r,
                                        EtcdStore::decodeLease,
                                        LeaseResult.Unavailable::new,
                                        LeaseResult.Unavailable::new));
    }

    @Override
    public AutoCloseable watch(
            String key, boolean prefix, long fromRevision, Consumer<WatchEvent> listener) {
        Objects.requireNonNull(listener, "listener");
        EtcdWatch watch = new EtcdWatch(mHttp, EtcdJson.watch(key, prefix, fromRevision), listener);
        watch.start();
        return watch;
    }

    @Override
    public void close() {
        mHttp.close();
    }

    private static <T> T decode(
            HttpOutcome outcome,
            Function<JsonNode, T> onResponse,
            Function<String, T> onLost,
            Function<String, T> onNotSent) {
        if (outcome instanceof HttpOutcome.Success a) {
            try {
                return onResponse.apply(EtcdJson.parse(a.body()));
            } catch (EtcdFormatException e) {
                return onLost.apply("answer not understood: " + e.getMessage());
            }
        }
        if (outcome instanceof HttpOutcome.Indeterminate l) {
            return onLost.apply(l.reason());
        }
        return onNotSent.apply(((HttpOutcome.NotSent) outcome).reason());
    }

    private static ReadResult decodeRead(JsonNode response) {
        long revision = EtcdJson.revision(response);
        List<Versioned> values = new ArrayList<>();
        for (JsonNode kv : response.path("kvs")) {
            values.add(EtcdJson.versioned(kv));
        }
        return new ReadResult.Found(List.copyOf(values), revision);
    }

    private static WriteResult decodeWrite(JsonNode response) {
        long revision = EtcdJson.revision(response);
        // proto3 JSON omits fields that have their default value, so a missing field is false.
        JsonNode succeeded = response.path("succeeded");
        if (!succeeded.isMissingNode() && !succeeded.isBoolean()) {
            throw new EtcdFormatException("field succeeded is not a boolean");
        }
        return succeeded.asBoolean()
                ? new WriteResult.Applied(revision)
                : new WriteResult.Conflict();
    }

    private static LeaseResult decodeLease(JsonNode response) {
        JsonNode lease = response.has("result") ? response.get("result") : response;
        EtcdJson.revision(lease);
        if (!lease.path("error").asText().isEmpty()) {
            return new LeaseResult.Unavailable(lease.path("error").asText());
        }
        long seconds = lease.has("TTL") ? EtcdJson.int64(lease, "TTL") : 0;
        return seconds <= 0
                ? new LeaseResult.Lapsed()
                : new LeaseResult.Held(EtcdJson.int64(lease, "ID"), Duration.ofSeconds(seconds));
    }
}
