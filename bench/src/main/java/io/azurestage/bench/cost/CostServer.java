package io.azurestage.bench.cost;

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
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Backend server that answers after a fixed service time, optionally after one downstream call. */
final class CostServer {
    private static final byte[] BODY = "x".repeat(600).getBytes(StandardCharsets.US_ASCII);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final EventLoop mLoop;
    private final Duration mServiceTime;
    private final HttpListener mListener;
    private HttpPool mDownstream;
    private String mDownstreamHost;
    private long mNextId;

    CostServer(MultiThreadIoEventLoopGroup group, Duration serviceTime) {
        mLoop = (EventLoop) group.next();
        mServiceTime = serviceTime;
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        mListener = HttpListener.open(group, any, RequestLimits::defaults, this::handle);
    }

    int port() {
        return mListener.port();
    }

    /** Makes each request call the entry of a node once. Call it before the first request. */
    void callsAt(InetSocketAddress entry, String host) {
        mDownstream = new HttpPool(mLoop, TimeSource.system(), entry, CONNECT_TIMEOUT);
        mDownstreamHost = host;
    }

    private void handle(InboundRequest r, Exchange x) {
        if (mDownstream == null) {
            afterServiceTime(() -> x.reply(reply(200, r)));
            return;
        }
        List<Field> fields =
                List.of(
                        new Field(CostLoad.ATTEMPT_ID_HEADER, "call-" + mNextId++),
                        new Field(CostLoad.TIMEOUT_HEADER, field(r, CostLoad.TIMEOUT_HEADER)));
        OutboundRequest call =
                CostLoad.request(mDownstreamHost, "/a/" + mNextId, fields, Duration.ofSeconds(2));
        mDownstream.send(call, result -> afterServiceTime(() -> x.reply(reply(status(result), r))));
    }

    private void afterServiceTime(Runnable action) {
        mLoop.schedule(action, mServiceTime.toMillis(), TimeUnit.MILLISECONDS);
    }

    private static int status(OutboundResult r) {
        return r instanceof OutboundResult.Answered a ? a.status() : 500;
    }

    private static Reply reply(int status, InboundRequest r) {
        return new Reply(
                status,
                List.of(
                        new Field(CostLoad.ATTEMPT_ID_HEADER, field(r, CostLoad.ATTEMPT_ID_HEADER)),
                        new Field("Azurestage-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")),
                BODY);
    }

    private static String field(InboundRequest r, String name) {
        return Fields.first(r.fields(), name).orElse("");
    }
}
