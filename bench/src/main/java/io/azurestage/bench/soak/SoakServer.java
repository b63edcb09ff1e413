package io.azurestage.bench.soak;

import io.azurestage.core.route.RequestLimits;
import io.azurestage.core.time.TimeSource;
import io.azurestage.relay.http.Exchange;
import io.azurestage.relay.http.Field;
import io.azurestage.relay.http.Fields;
import io.azurestage.relay.http.HttpListener;
import io.azurestage.relay.http.HttpPool;
import io.azurestage.relay.http.InboundRequest;
import io.azurestage.relay.http.OutboundRequest;
import io.azurestage.relay.http.OutboundResult;
import io.azurestage.relay.http.Reply;
import io.azurestage.relay.http.ResponseFilter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/** The backend server beside a node, with its heartbeats. Confined to its event loop. */
final class SoakServer {
    static final String ATTEMPT_ID = "Azurestage-Attempt-Id";
    static final String TIMEOUT = "Azurestage-Timeout-Ms";
    private static final String TARGET = "Azurestage-Target-Instance";
    private static final String CALL_PREFIX = "call-";
    private static final Duration TIMEOUT_OF_CALLS = Duration.ofSeconds(1);
    private static final int SLOTS = 40;
    private static final int MISDIRECTED_REQUEST = 421;
    private static final String HOST = "127.0.0.1";

    private final EventLoop mLoop;
    private final SoakLedger mLedger;
    private final SoakNode mNode;
    private final String mService;
    private final Duration mServiceTime;
    private final boolean mCallsInner;
    private final HttpListener mListener;
    private final HttpPool mHeartbeats;
    private final HttpPool mCalls;
    private int mIncarnation;
    private int mIdNumber;
    private long mBornMillis;
    private long mSequence;
    private long mCallCount;
    private boolean mDraining;
    private boolean mDeregistered;
    private boolean mKeepsId;
    private OptionalDouble mLimit = OptionalDouble.empty();

    SoakServer(
            MultiThreadIoEventLoopGroup group,
            SoakLedger ledger,
            SoakNode node,
            String service,
            Duration serviceTime,
            boolean callsInner) {
        mLoop = (EventLoop) group.next();
        mLedger = ledger;
        mNode = node;
        mService = service;
        mServiceTime = serviceTime;
        mCallsInner = callsInner;
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        mListener = HttpListener.open(group, any, RequestLimits::defaults, this::handle);
        Duration connect = Duration.ofSeconds(1);
        mHeartbeats = new HttpPool(mLoop, TimeSource.system(), node.heartbeats(), connect);
        mCalls = new HttpPool(mLoop, TimeSource.system(), node.entry(), connect);
        mLoop.execute(this::startIncarnation);
        group.scheduleAtFixedRate(
                () -> mLoop.execute(this::report), 100, 500, TimeUnit.MILLISECONDS);
    }

    private void startIncarnation() {
        mIncarnation++;
        mIdNumber += mKeepsId ? 0 : 1;
        mBornMillis = System.currentTimeMillis();
        mSequence = 0;
        mDraining = false;
        mDeregistered = false;
        mLimit = OptionalDouble.empty();
    }

    private String id() {
        return mNode.name() + "-server-" + mIdNumber;
    }

    /** Name of the incarnation in the ledger; several incarnations may have one id. */
    private String label() {
        return id() + "/" + mIncarnation;
    }

    private void report() {
        if (mDeregistered) {
            return;
        }
        sendHeartbeat(++mSequence, () -> {});
    }

    /** States a rate limit for a time. */
    void limit(double perSecond, Duration length) {
        mLoop.execute(
                () -> {
                    if (mLimit.isPresent() || mDraining) {
                        return;
                    }
                    mLimit = OptionalDouble.of(perSecond);
                    long now = System.nanoTime();
                    mLedger.limited(label(), perSecond, now, now + length.toNanos());
                    int incarnation = mIncarnation;
                    mLoop.schedule(
                            () -> {
                                if (incarnation == mIncarnation) {
                                    mLimit = OptionalDouble.empty();
                                }
                            },
                            length.toMillis(),
                            TimeUnit.MILLISECONDS);
                });
    }

    /**
     * Leaves, and is replaced by a new incarnation at the same address.
     *
     * @param after time until the new incarnation starts
     * @param deregisters whether the server deregisters first, in place of reporting its drain; its
     *     last heartbeat then arrives late
     * @param keepsId whether the new incarnation has the same id
     */
    void replace(Duration after, boolean deregisters, boolean keepsId) {
        mLoop.execute(
                () -> {
                    if (mDraining || mDeregistered) {
                        return;
                    }
                    mKeepsId = keepsId;
                    if (deregisters) {
                        deregister(after);
                    } else {
                        String leaving = label();
                        mDraining = true;
                        sendHeartbeat(++mSequence, () -> mLedger.leaving(leaving));
                    }
                    mLoop.schedule(this::startIncarnation, after.toMillis(), TimeUnit.MILLISECONDS);
                });
    }

    private void deregister(Duration after) {
        mDeregistered = true;
        String leaving = label();
        int incarnation = mIncarnation;
        long lateSequence = ++mSequence;
        String body = "{\"born\":%d}".formatted(mBornMillis);
        send("/-/Instances.Deregister/" + id(), body, () -> mLedger.leaving(leaving));
        mLoop.schedule(
                () -> {
                    if (incarnation == mIncarnation) {
                        sendHeartbeat(lateSequence, () -> {});
                    }
                },
                after.toMillis() / 2,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Sends a heartbeat as another writer may, which names a newer server.
     *
     * @param ofAnotherService whether its service is wrong; otherwise its address is
     */
    void sendOddHeartbeat(boolean ofAnotherService) {
        mLoop.execute(
                () -> {
                    String service = ofAnotherService ? "nosuch" : mService;
                    String host = ofAnotherService ? HOST : "127.0.0.99";
                    String body = heartbeat(service, host, 1, System.currentTimeMillis());
                    send("/-/Instances.Heartbeat/" + mNode.name() + "-odd", body, () -> {});
                });
    }

    private void sendHeartbeat(long sequence, Runnable acknowledged) {
        String body = heartbeat(mService, HOST, sequence, mBornMillis);
        send("/-/Instances.Heartbeat/" + id(), body, acknowledged);
    }

    private String heartbeat(String service, String host, long sequence, long bornMillis) {
        return """
               {"service":"%s","address":"%s:%d","zone":"d","version":"v1","slots":%d,
                "state":"%s","coldRemaining":"0ms","sequence":%d,"born":%d}"""
                .formatted(
                        service,
                        host,
                        mListener.port(),
                        SLOTS,
                        mDraining ? "draining" : "ready",
                        sequence,
                        bornMillis);
    }

    private void send(String target, String body, Runnable acknowledged) {
        OutboundRequest r =
                new OutboundRequest(
                        "POST",
                        target,
                        "node",
                        List.of(new Field("Content-Type", "application/json")),
                        body.getBytes(StandardCharsets.UTF_8),
                        Duration.ofSeconds(1),
                        false,
                        ResponseFilter.ANY);
        mHeartbeats.send(
                r,
                result -> {
                    if (result instanceof OutboundResult.Answered a && a.status() == 200) {
                        acknowledged.run();
                    }
                });
    }

    private void handle(InboundRequest r, Exchange x) {
        String id = Fields.first(r.fields(), ATTEMPT_ID).orElse("");
        String target = Fields.first(r.fields(), TARGET).orElse(id());
        if (!target.equals(id())) {
            x.reply(new Reply(MISDIRECTED_REQUEST, List.of(), new byte[0]));
            return;
        }
        boolean isCall = id.startsWith(CALL_PREFIX);
        mLedger.arrived(label(), id, isCall);
        if (!mCallsInner || isCall) {
            afterServiceTime(() -> x.reply(reply(200, id)));
            return;
        }
        OutboundRequest call =
                new OutboundRequest(
                        "GET",
                        "/i/" + id,
                        "h",
                        List.of(
                                new Field(ATTEMPT_ID, CALL_PREFIX + id() + "-" + mCallCount++),
                                new Field(TIMEOUT, Long.toString(TIMEOUT_OF_CALLS.toMillis()))),
                        new byte[0],
                        TIMEOUT_OF_CALLS,
                        false,
                        ResponseFilter.ANY);
        mCalls.send(
                call, result -> afterServiceTime(() -> x.reply(reply(statusAfter(result), id))));
    }

    private static int statusAfter(OutboundResult call) {
        return call instanceof OutboundResult.Answered a && a.status() == 200 ? 200 : 500;
    }

    private void afterServiceTime(Runnable action) {
        mLoop.schedule(action, mServiceTime.toMillis(), TimeUnit.MILLISECONDS);
    }

    private Reply reply(int status, String id) {
        List<Field> fields = new ArrayList<>();
        fields.add(new Field(ATTEMPT_ID, id));
        fields.add(new Field("Azurestage-Response-Signature", "soak"));
        mLimit.ifPresent(
                l -> fields.add(new Field("Server-Limit", String.format(Locale.ROOT, "%.1f", l))));
        if (mDraining) {
            fields.add(new Field("Server-Leaving", "1"));
        }
        return new Reply(status, fields, body(id).getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the body of the answer to a request. */
    static String body(String id) {
        return "answer to " + id;
    }
}
