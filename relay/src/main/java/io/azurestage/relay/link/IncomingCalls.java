package io.azurestage.relay.link;

import com.google.protobuf.ByteString;
import io.azurestage.core.memory.Holding;
import io.azurestage.core.memory.MemoryAccount;
import io.azurestage.core.time.PauseDetector;
import io.azurestage.core.time.TimeSource;
import io.azurestage.relay.call.CallHandle;
import io.azurestage.relay.call.CallListener;
import io.azurestage.relay.call.CallResult;
import io.azurestage.relay.call.CallTarget;
import io.azurestage.relay.call.LoadReport;
import io.azurestage.relay.http.Body;
import io.azurestage.wire.generated.link.CallStart;
import io.azurestage.wire.generated.link.LinkMessage;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * The calls of one incarnation of a peer. Results are retained for a few seconds, so that a peer
 * that reconnects can query those that were lost with the previous connection.
 *
 * <p>A peer sends its calls in ascending order of their ids. A call with an id above the highest
 * one received has therefore not arrived; once a query has reported it as such, it is never
 * started.
 */
final class IncomingCalls {
    /** Time that a peer has to reconnect before its calls that have not been sent are withdrawn. */
    private static final long WITHDRAW_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Time that a peer has to reconnect before its idempotent calls are cancelled. */
    private static final long RECONNECT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_700);

    /** Longest time that a call waits for cancellations after a pause of this node. */
    private static final long MAX_START_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final String LINK_LOST = "the link to the caller's node was lost";
    private static final String NO_MEMORY = "the server's node holds too many bytes of requests";
    private static final Duration MEMORY_RETRY_AFTER = Duration.ofSeconds(1);
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final int MAX_RETAINED_BYTES = 2 << 20;

    /** A call whose body has not been received completely. */
    private final class PartialCall {
        private final CallStart mStart;
        private final Holding mHolding;
        private final List<byte[]> mBody = new ArrayList<>();
        private long mBytes;

        PartialCall(CallStart start) {
            mStart = start;
            mHolding = openHolding(start.getCallId());
        }

        /** Appends a part of the body. The call may have to be refused for it. */
        void append(ByteString bytes) {
            mBody.add(bytes.toByteArray());
            mBytes += bytes.size();
            mHolding.resize(mBytes);
        }
    }

    /** A complete call that waits until the messages received with it have been read. */
    private record ReceivedCall(CallStart start, Body body, Holding holding, long receivedNanos) {}

    /** A call that is being executed, and the listener for its result. */
    private final class RunningCall implements CallListener {
        private final long mId;
        private final String mOperation;
        private final boolean mIdempotent;
        private final Holding mHolding;
        private CallHandle mHandle;
        private boolean mEnded;

        RunningCall(ReceivedCall call) {
            mId = call.start.getCallId();
            mOperation = call.start.getOperation();
            mIdempotent = call.start.getIdempotent();
            mHolding = call.holding;
        }

        boolean isIdempotent() {
            return mIdempotent;
        }

        @Override
        public void done(CallResult result, LoadReport load) {
            mEnded = true;
            mHolding.close();
            mRunningCalls.remove(mId);
            onEnded(mId, result, mSentLevels.omitUnchangedLevels(mOperation, load, mTime.nanos()));
        }
    }

    /** A retained result, with the time of its end and the size of its body. */
    private record RetainedResult(CallResult result, LoadReport load, long atNanos, int bytes) {}

    private final TimeSource mTime;
    private final PauseDetector mPauses;
    private final CallTarget mTarget;
    private final MemoryAccount mMemory;
    private final Map<Long, RunningCall> mRunningCalls = new HashMap<>();
    private final Map<Long, PartialCall> mPartialCalls = new HashMap<>();
    private final Map<Long, ReceivedCall> mReceivedCalls = new LinkedHashMap<>();
    private final Set<Long> mNeverStartedIds = new HashSet<>();
    private final Map<Long, RetainedResult> mRetained = new LinkedHashMap<>();
    private final SentLevels mSentLevels = new SentLevels();
    private Channel mChannel;
    private long mHighestId;
    private long mDisconnectedNanos;
    private int mRetainedBytes;
    private boolean mStartScheduled;
    private int mUnwritten;

    IncomingCalls(TimeSource time, PauseDetector pauses, CallTarget target) {
        this(time, pauses, target, MemoryAccount.unlimited());
    }

    IncomingCalls(TimeSource time, PauseDetector pauses, CallTarget target, MemoryAccount memory) {
        mMemory = memory;
        mTime = time;
        mPauses = pauses;
        mTarget = target;
    }

    void connected(Channel channel) {
        if (mChannel != null && mChannel != channel) {
            mChannel.close();
        }
        mChannel = channel;
        mSentLevels.clear();
        // Calls that were not started when the previous connection broke never are.
        mNeverStartedIds.clear();
        mNeverStartedIds.addAll(mPartialCalls.keySet());
        mNeverStartedIds.addAll(mReceivedCalls.keySet());
        mPartialCalls.values().forEach(p -> p.mHolding.close());
        mPartialCalls.clear();
        mReceivedCalls.values().forEach(r -> r.holding.close());
        mReceivedCalls.clear();
    }

    void disconnected(Channel channel) {
        if (mChannel == channel) {
            mChannel = null;
            mDisconnectedNanos = mTime.nanos();
        }
    }

    boolean isExpired(long now, long expiryNanos) {
        return mChannel == null
                && mRunningCalls.isEmpty()
                && now - mDisconnectedNanos > expiryNanos;
    }

    void tick(long now) {
        startReceived();
        mRetained.values().removeIf(k -> now - k.atNanos > RETENTION_NANOS && releaseBytes(k));
        if (mChannel != null) {
            return;
        }
        if (now - mDisconnectedNanos > WITHDRAW_TIMEOUT_NANOS) {
            withdrawUnsent();
        }
        if (now - mDisconnectedNanos > RECONNECT_TIMEOUT_NANOS) {
            cancelIf(RunningCall::isIdempotent);
        }
    }

    /** Nobody may be waiting for these calls any more, and another node can still run them. */
    private void withdrawUnsent() {
        for (RunningCall call : List.copyOf(mRunningCalls.values())) {
            if (call.mHandle.withdraw()) {
                call.done(
                        new CallResult.NotRun(LINK_LOST, Duration.ZERO, true), LoadReport.UNKNOWN);
            }
        }
    }

    private void cancelAllExcept(Set<Long> ids) {
        Set.copyOf(mReceivedCalls.keySet()).stream()
                .filter(id -> !ids.contains(id))
                .forEach(this::forgetReceived);
        cancelIf(r -> !ids.contains(r.mId));
    }

    private void cancelIf(Predicate<RunningCall> condition) {
        List<RunningCall> calls = mRunningCalls.values().stream().filter(condition).toList();
        mRunningCalls.values().removeAll(calls);
        calls.forEach(this::cancel);
    }

    /** Cancels a call. One that must run to its end keeps its body until then. */
    private void cancel(RunningCall call) {
        call.mHandle.cancel();
        if (call.isIdempotent()) {
            call.mHolding.close();
        }
    }

    /** Opens the holding of a call, which is refused if it has to be evicted. */
    private Holding openHolding(long id) {
        return mMemory.open(
                () -> {
                    mPartialCalls.remove(id);
                    forgetReceived(id);
                    send(
                            id,
                            new CallResult.NotRun(NO_MEMORY, MEMORY_RETRY_AFTER, true),
                            LoadReport.UNKNOWN);
                });
    }

    private void forgetReceived(long id) {
        ReceivedCall received = mReceivedCalls.remove(id);
        if (received != null) {
            received.holding.close();
        }
    }

    private void forgetPartial(long id) {
        PartialCall partial = mPartialCalls.remove(id);
        if (partial != null) {
            partial.mHolding.close();
        }
    }

    void accept(Channel channel, LinkMessage m) {
        if (channel != mChannel) {
            return;
        }
        switch (m.getBodyCase()) {
            case START -> start(m.getStart());
            case DATA -> {
                PartialCall partial = mPartialCalls.get(m.getData().getCallId());
                if (partial != null) {
                    partial.append(m.getData().getBody());
                    if (m.getData().getLast()) {
                        complete(partial);
                    }
                }
            }
            case CANCEL -> {
                forgetPartial(m.getCancel().getCallId());
                forgetReceived(m.getCancel().getCallId());
                RunningCall running = mRunningCalls.remove(m.getCancel().getCallId());
                if (running != null) {
                    cancel(running);
                }
            }
            case QUERY -> {
                if (m.getQuery().getComplete()) {
                    cancelAllExcept(Set.copyOf(m.getQuery().getCallIdList()));
                }
                m.getQuery().getCallIdList().forEach(this::answerQuery);
            }
            default -> {}
        }
    }

    private void start(CallStart start) {
        if (start.getCallId() <= mHighestId) {
            return;
        }
        mHighestId = start.getCallId();
        PartialCall call = new PartialCall(start);
        mPartialCalls.put(start.getCallId(), call);
        call.append(start.getBody());
        if (!start.getMore()) {
            complete(call);
        }
    }

    private void complete(PartialCall call) {
        if (mPartialCalls.remove(call.mStart.getCallId(), call)) {
            received(call.mStart, Body.ofSegments(call.mBody), call.mHolding);
        }
    }

    /**
     * Starts a call after the messages that were received together with it, because these may
     * cancel it. After a pause of this node, cancellations may lie far behind, and the call waits
     * until they have been read.
     */
    private void received(CallStart start, Body body, Holding holding) {
        mReceivedCalls.put(
                start.getCallId(), new ReceivedCall(start, body, holding, mTime.nanos()));
        if (!mStartScheduled && !mPauses.isSettling()) {
            mStartScheduled = true;
            mChannel.eventLoop().execute(this::startReceived);
        }
    }

    private void startReceived() {
        mStartScheduled = false;
        if (mChannel == null || !mChannel.isActive()) {
            return;
        }
        // A node that lacks processor time pauses again and again, so the wait has a limit.
        long minAgeNanos = mPauses.isSettling() ? MAX_START_DELAY_NANOS : 0;
        long now = mTime.nanos();
        List<ReceivedCall> calls =
                mReceivedCalls.values().stream()
                        .filter(c -> now - c.receivedNanos >= minAgeNanos)
                        .toList();
        mReceivedCalls.values().removeAll(calls);
        calls.forEach(this::run);
    }

    private void run(ReceivedCall call) {
        RunningCall running = new RunningCall(call);
        call.holding.setEvictable(false);
        CallHandle handle =
                mTarget.start(
                        CallMessages.toCallSpec(call.start, call.body, call.receivedNanos),
                        running);
        if (!running.mEnded) {
            running.mHandle = handle;
            mRunningCalls.put(call.start.getCallId(), running);
        }
    }

    private void answerQuery(long id) {
        if (mRunningCalls.containsKey(id) || mReceivedCalls.containsKey(id)) {
            return;
        }
        RetainedResult retained = mRetained.get(id);
        if (retained != null) {
            send(id, retained.result, retained.load);
            return;
        }
        boolean arrived = id <= mHighestId && !mNeverStartedIds.contains(id);
        mHighestId = Math.max(mHighestId, id);
        CallResult result =
                arrived
                        ? new CallResult.MaybeRun("its result is no longer kept")
                        : new CallResult.NotRun("it never arrived", Duration.ZERO, true);
        send(id, result, LoadReport.UNKNOWN);
    }

    private void onEnded(long id, CallResult result, LoadReport load) {
        int bytes = result instanceof CallResult.Answered a ? a.body().length() : 0;
        if (mRetainedBytes + bytes <= MAX_RETAINED_BYTES) {
            mRetainedBytes += bytes;
            mRetained.put(id, new RetainedResult(result, load, mTime.nanos(), bytes));
        }
        send(id, result, load);
    }

    private boolean releaseBytes(RetainedResult retained) {
        mRetainedBytes -= retained.bytes;
        return true;
    }

    private void send(long id, CallResult result, LoadReport load) {
        if (mChannel == null) {
            return;
        }
        write(CallMessages.result(id, result, load));
        if (result instanceof CallResult.Answered a && BodyChunks.hasMore(a.body())) {
            Holding holding = mMemory.open(() -> {});
            holding.setEvictable(false);
            holding.resize(a.body().length());
            write(BodyChunks.rest(id, a.body(), holding::close));
        }
    }

    /** Writes a message or a body. A peer that misses a part queries it on a new connection. */
    private void write(Object message) {
        mUnwritten++;
        mChannel.writeAndFlush(message)
                .addListener(f -> mUnwritten--)
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Returns the number of messages and bodies that the peer has not taken yet. */
    int unwritten() {
        return mUnwritten;
    }
}
