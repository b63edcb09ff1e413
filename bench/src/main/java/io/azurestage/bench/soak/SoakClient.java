package io.azurestage.bench.soak;

import io.azurestage.bench.soak.SoakLedger.End;
import io.azurestage.core.time.TimeSource;
import io.azurestage.relay.http.Field;
import io.azurestage.relay.http.Fields;
import io.azurestage.relay.http.HttpPool;
import io.azurestage.relay.http.OutboundCall;
import io.azurestage.relay.http.OutboundRequest;
import io.azurestage.relay.http.OutboundResult;
import io.azurestage.relay.http.ResponseFilter;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Callers beside one node. They keep using their open connections until the node closes them, also
 * while it stops, and a part of them leaves early. Confined to its event loop.
 */
final class SoakClient {
    private static final Duration DEADLINE = Duration.ofSeconds(3);
    private static final double LEAVING_RATIO = 0.1;
    private static final double ONCE_RATIO = 0.3;
    private static final int MAX_PATIENCE_MILLIS = 400;

    private final EventLoop mLoop;
    private static final int NOT_FOUND = 404;

    private final SoakLedger mLedger;
    private final SoakNode mNode;
    private final HttpPool mPool;
    private final SplittableRandom mRandom;
    private long mCount;

    SoakClient(EventLoop loop, SoakLedger ledger, SoakNode node, SplittableRandom random) {
        mLoop = loop;
        mLedger = ledger;
        mNode = node;
        mRandom = random;
        mPool = new HttpPool(loop, TimeSource.system(), node.entry(), Duration.ofSeconds(1));
    }

    /** Sends one request. Call it on the event loop. */
    void send() {
        String id = mNode.name() + "-" + mCount++;
        boolean once = mRandom.nextDouble() < ONCE_RATIO;
        OutboundRequest r =
                new OutboundRequest(
                        once ? "POST" : "GET",
                        (once ? "/o/" : "/f/") + id,
                        "h",
                        List.of(
                                new Field(SoakServer.ATTEMPT_ID, id),
                                new Field(SoakServer.TIMEOUT, Long.toString(DEADLINE.toMillis()))),
                        new byte[0],
                        DEADLINE.plusSeconds(1),
                        false,
                        ResponseFilter.ANY);
        mLedger.sent(id, once, mNode);
        OutboundCall call = mPool.send(r, result -> ended(id, result));
        if (mRandom.nextDouble() < LEAVING_RATIO) {
            mLoop.schedule(
                    () -> leave(id, call),
                    1 + mRandom.nextInt(MAX_PATIENCE_MILLIS),
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Checks that the node has the routes of a version. Call it on the event loop. */
    void checkVersion(int version) {
        String id = mNode.name() + "-version";
        OutboundRequest r =
                new OutboundRequest(
                        "GET",
                        "/v/" + version + "/",
                        "h",
                        List.of(new Field(SoakServer.ATTEMPT_ID, id)),
                        new byte[0],
                        DEADLINE,
                        false,
                        ResponseFilter.ANY);
        mLedger.sent(id, false, mNode);
        mPool.send(
                r,
                result -> {
                    ended(id, result);
                    if (result instanceof OutboundResult.Answered a && a.status() == NOT_FOUND) {
                        mLedger.violated(
                                "CONFIG: " + mNode.name() + " does not know version " + version);
                    }
                });
    }

    private void leave(String id, OutboundCall call) {
        if (!mLedger.hasEnded(id)) {
            mLedger.left(id);
            call.cancel();
        }
    }

    private void ended(String id, OutboundResult result) {
        if (result instanceof OutboundResult.Answered a) {
            mLedger.ended(id, end(id, a), Integer.toString(a.status()));
        } else if (result instanceof OutboundResult.NotSent n) {
            mLedger.ended(id, End.NOT_SENT, n.reason());
        } else if (result instanceof OutboundResult.Lost l) {
            mLedger.ended(id, End.BROKEN, l.reason());
        }
    }

    private End end(String id, OutboundResult.Answered a) {
        if (a.status() == 429 || a.status() == 503) {
            return End.REFUSED;
        }
        if (a.status() != 200) {
            return End.FAILED;
        }
        boolean signed = Fields.first(a.fields(), "Azurestage-Response-Signature").isPresent();
        String body = new String(a.body().toByteArray(), StandardCharsets.UTF_8);
        if (!signed || !body.equals(SoakServer.body(id))) {
            mLedger.violated("MIXED: " + id + " got: " + body);
        }
        return End.SERVED;
    }
}
