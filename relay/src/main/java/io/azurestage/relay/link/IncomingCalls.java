package io.azurestage.relay.link;

import io.azurestage.core.time.TimeSource;
import io.azurestage.relay.call.CallHandle;
import io.azurestage.relay.call.CallListener;
import io.azurestage.relay.call.CallResult;
import io.azurestage.relay.call.CallTarget;
import io.azurestage.relay.call.LoadReport;
import io.azurestage.wire.generated.link.CallStart;
import io.azurestage.wire.generated.link.LinkMessage;
import io.netty.channel.Channel;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The calls of one incarnation of a peer. Results are retained for a few seconds, so that a peer
 * that reconnects can query those that were lost with the previous connection.
 *
 * <p>A peer sends its calls in ascending order of their ids. A call with an id above the highest
 * one received has therefore not arrived; after the peer has been told so, it is never started.
 */
final class IncomingCalls {
    /** Time that a peer has to reconnect before its idempotent calls are cancelled. */
    private static final long RESUME_NANOS = TimeUnit.MILLISECONDS.toNanos(1_700);

    private static final long KEEP_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final int MAX_KEPT_BYTES = 2 << 20;

    /** A call whose body has not been received completely. */
    private static final class Partial {
        private final CallStart mStart;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();

        Partial(CallStart start) {
            mStart = start;
            mBody.writeBytes(start.getBody().toByteArray());
        }
    }

    /** A call that is being executed, and the listener for its result. */
    private final class Running implements CallListener {
        private final long mId;
        private final String mOperation;
        private final boolean mIdempotent;
        private CallHandle mHandle;
        private boolean mEnded;

        Running(CallStart start) {
            mId = start.getCallId();
            mOperation = start.getOperation();
            mIdempotent = start.getIdempotent();
        }

        boolean isIdempotent() {
            return mIdempotent;
        }

        @Override
        public void done(CallResult result, LoadReport load) {
            mEnded = true;
            mRunning.remove(mId);
            ended(mId, result, mTold.shortened(mOperation, load, mTime.nanos()));
        }
    }

    /** A retained result, with the time of its end and the size of its body. */
    private record Kept(CallResult result, LoadReport load, long atNanos, int bytes) {}

    private final TimeSource mTime;
    private final CallTarget mTarget;
    private final Map<Long, Running> mRunning = new HashMap<>();
    private final Map<Long, Partial> mPartial = new HashMap<>();
    private final Set<Long> mIncomplete = new HashSet<>();
    private final Map<Long, Kept> mKept = new LinkedHashMap<>();
    private final ToldLevels mTold = new ToldLevels();
    private Channel mChannel;
    private Consumer<LinkMessage> mOut;
    private long mHighest;
    private long mDisconnected;
    private int mKeptBytes;

    IncomingCalls(TimeSource time, CallTarget target) {
        mTime = time;
        mTarget = target;
    }

    void connected(Channel channel) {
        if (mChannel != null && mChannel != channel) {
            mChannel.close();
        }
        mChannel = channel;
        mOut = channel::writeAndFlush;
        mTold.clear();
        // Calls whose bodies were incomplete when the previous connection broke have not been run.
        mIncomplete.clear();
        mIncomplete.addAll(mPartial.keySet());
        mPartial.clear();
    }

    void disconnected(Channel channel) {
        if (mChannel == channel) {
            mChannel = null;
            mDisconnected = mTime.nanos();
        }
    }

    boolean isAbandoned(long now, long expiryNanos) {
        return mChannel == null && mRunning.isEmpty() && now - mDisconnected > expiryNanos;
    }

    void tick(long now) {
        mKept.values().removeIf(k -> now - k.atNanos > KEEP_NANOS && drop(k));
        if (mChannel == null && now - mDisconnected > RESUME_NANOS) {
            List<Running> idempotent =
                    mRunning.values().stream().filter(Running::isIdempotent).toList();
            mRunning.values().removeAll(idempotent);
            idempotent.forEach(r -> r.mHandle.cancel());
        }
    }

    void accept(Channel channel, LinkMessage m) {
        if (channel != mChannel) {
            return;
        }
        switch (m.getBodyCase()) {
            case START -> start(m.getStart());
            case DATA -> {
                Partial p = mPartial.get(m.getData().getCallId());
                if (p != null) {
                    p.mBody.writeBytes(m.getData().getBody().toByteArray());
                    if (m.getData().getLast()) {
                        mPartial.remove(m.getData().getCallId());
                        run(p.mStart, p.mBody.toByteArray());
                    }
                }
            }
            case CANCEL -> {
                mPartial.remove(m.getCancel().getCallId());
                Running running = mRunning.remove(m.getCancel().getCallId());
                if (running != null) {
                    running.mHandle.cancel();
                }
            }
            case QUERY -> m.getQuery().getCallIdList().forEach(this::query);
            default -> {}
        }
    }

    private void start(CallStart start) {
        if (start.getCallId() <= mHighest) {
            return;
        }
        mHighest = start.getCallId();
        if (start.getMore()) {
            mPartial.put(start.getCallId(), new Partial(start));
        } else {
            run(start, start.getBody().toByteArray());
        }
    }

    private void run(CallStart start, byte[] body) {
        Running running = new Running(start);
        CallHandle handle = mTarget.start(Messages.spec(start, body, mTime.nanos()), running);
        if (!running.mEnded) {
            running.mHandle = handle;
            mRunning.put(start.getCallId(), running);
        }
    }

    private void query(long id) {
        if (mRunning.containsKey(id)) {
            return;
        }
        Kept kept = mKept.get(id);
        if (kept != null) {
            send(id, kept.result, kept.load);
            return;
        }
        boolean arrived = id <= mHighest && !mIncomplete.contains(id);
        mHighest = Math.max(mHighest, id);
        CallResult result =
                arrived
                        ? new CallResult.MaybeRun("its result is no longer kept")
                        : new CallResult.NotRun("it never arrived", Duration.ZERO, true);
        send(id, result, LoadReport.NONE);
    }

    private void ended(long id, CallResult result, LoadReport load) {
        int bytes = result instanceof CallResult.Answered a ? a.body().length : 0;
        if (mKeptBytes + bytes <= MAX_KEPT_BYTES) {
            mKeptBytes += bytes;
            mKept.put(id, new Kept(result, load, mTime.nanos(), bytes));
        }
        send(id, result, load);
    }

    private boolean drop(Kept k) {
        mKeptBytes -= k.bytes;
        return true;
    }

    private void send(long id, CallResult result, LoadReport load) {
        if (mChannel != null) {
            Messages.result(id, result, load, mOut);
        }
    }
}
