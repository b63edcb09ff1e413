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

/** A backend server that answers after a fixed time, and may make one call before it does. */
final class CostServer {
    private static final byte[] BODY = "x".repeat(600).getBytes(StandardCharsets.US_ASCII);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final EventLoop mLoop;
    private final Duration mWork;
    private final HttpListener mListener;
    private HttpPool mCalls;
    private String mCallHost;
    private long mIds;

    CostServer(MultiThreadIoEventLoopGroup group, Duration work) {
        mLoop = (EventLoop) group.next();
        mWork = work;
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        mListener = HttpListener.open(group, any, RequestLimits::defaults, this::handle);
    }

    int port() {
        return mListener.port();
    }

    /** Lets each request make one call at a node's entry. */
    void callsAt(InetSocketAddress entry, String host) {
        mCalls = new HttpPool(mLoop, TimeSource.system(), entry, CONNECT_TIMEOUT);
        mCallHost = host;
    }

    private void handle(InboundRequest r, Exchange x) {
        if (mCalls == null) {
            later(() -> x.reply(reply(200, r)));
            return;
        }
        List<Field> fields =
                List.of(
                        new Field(CostLoad.ID, "call-" + mIds++),
                        new Field(CostLoad.LEFT, field(r, CostLoad.LEFT)));
        OutboundRequest call =
                CostLoad.request(mCallHost, "/a/" + mIds, fields, Duration.ofSeconds(2));
        mCalls.send(call, result -> later(() -> x.reply(reply(status(result), r))));
    }

    private void later(Runnable action) {
        mLoop.schedule(action, mWork.toMillis(), TimeUnit.MILLISECONDS);
    }

    private static int status(OutboundResult r) {
        return r instanceof OutboundResult.Answered a ? a.status() : 500;
    }

    private static Reply reply(int status, InboundRequest r) {
        return new Reply(
                status,
                List.of(
                        new Field(CostLoad.ID, field(r, CostLoad.ID)),
                        new Field("Azurestage-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")),
                BODY);
    }

    private static String field(InboundRequest r, String name) {
        return Fields.first(r.fields(), name).orElse("");
    }
}
