package io.azurestage.bench.cost;

import io.azurestage.core.time.TimeSource;
import io.azurestage.relay.http.Field;
import io.azurestage.relay.http.HttpPool;
import io.azurestage.relay.http.OutboundRequest;
import io.azurestage.relay.http.OutboundResult;
import io.azurestage.relay.http.ResponseFilter;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/** Open-loop client that sends requests at a constant rate. */
final class CostLoad {
    static final String ATTEMPT_ID_HEADER = "Azurestage-Attempt-Id";
    static final String TIMEOUT_HEADER = "Azurestage-Timeout-Ms";

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration DEADLINE = Duration.ofSeconds(3);

    private final EventLoop mLoop;
    private final HttpPool mPool;
    private final String mHost;
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mFailed = new AtomicInteger();
    private long mNextId;

    CostLoad(EventLoop loop, InetSocketAddress entry, String host) {
        mLoop = loop;
        mPool = new HttpPool(loop, TimeSource.system(), entry, CONNECT_TIMEOUT);
        mHost = host;
    }

    /** Returns a GET request without a body for a route of the measurement. */
    static OutboundRequest request(
            String host, String target, List<Field> fields, Duration timeout) {
        return new OutboundRequest(
                "GET", target, host, fields, new byte[0], timeout, false, ResponseFilter.ANY);
    }

    /** Sends requests for a time; responses may still be outstanding when this returns. */
    void run(int perSecond, Duration length) {
        long intervalNanos = Duration.ofSeconds(1).toNanos() / perSecond;
        long start = System.nanoTime();
        long n = length.toNanos() / intervalNanos;
        for (long i = 0; i < n; i++) {
            long due = start + i * intervalNanos;
            for (long now = System.nanoTime(); now < due; now = System.nanoTime()) {
                LockSupport.parkNanos(due - now);
            }
            mLoop.execute(this::send);
        }
    }

    /** Resets the counters: requests are refused until the service has been discovered. */
    void reset() {
        mServed.set(0);
        mFailed.set(0);
    }

    int served() {
        return mServed.get();
    }

    int failed() {
        return mFailed.get();
    }

    private void send() {
        String id = "client-" + mNextId++;
        List<Field> fields =
                List.of(
                        new Field(ATTEMPT_ID_HEADER, id),
                        new Field(TIMEOUT_HEADER, Long.toString(DEADLINE.toMillis())),
                        new Field("Accept", "*/*"));
        OutboundRequest r = request(mHost, "/b/" + id, fields, DEADLINE);
        mPool.send(r, this::onResult);
    }

    private void onResult(OutboundResult r) {
        boolean ok = r instanceof OutboundResult.Answered a && a.status() == 200;
        (ok ? mServed : mFailed).incrementAndGet();
    }
}
