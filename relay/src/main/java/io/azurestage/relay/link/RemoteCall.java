package io.azurestage.relay.link;

import com.google.protobuf.ByteString;
import io.azurestage.core.memory.Holding;
import io.azurestage.relay.call.CallHandle;
import io.azurestage.relay.call.CallListener;
import io.azurestage.relay.call.CallResult;
import io.azurestage.relay.call.CallSpec;
import io.azurestage.relay.call.LoadReport;
import io.azurestage.relay.http.Body;
import io.azurestage.relay.http.BodyInput;
import io.azurestage.relay.http.Fields;
import io.azurestage.wire.generated.link.CallAnswer;
import io.azurestage.wire.generated.link.CallData;
import io.azurestage.wire.generated.link.LinkMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A call to a peer, from its start to its result. */
final class RemoteCall implements CallHandle {
    /** Lowest status of a final answer. */
    private static final int MIN_STATUS = 200;

    private static final int MAX_STATUS = 599;

    private final LinkClient mLink;
    private final long mId;
    private final CallSpec mSpec;
    private final CallListener mListener;
    private final long mStartedNanos;
    private final List<byte[]> mBody = new ArrayList<>();
    private long mBodyBytes;
    private Optional<BodyInput<LinkMessage>> mUnsentBody = Optional.empty();
    private Optional<Holding> mHolding = Optional.empty();
    private LoadReport mLoad = LoadReport.UNKNOWN;
    private CallAnswer mAnswer;
    private boolean mSent;

    RemoteCall(LinkClient link, long id, CallSpec spec, CallListener listener, long nowNanos) {
        mLink = link;
        mId = id;
        mSpec = spec;
        mListener = listener;
        mStartedNanos = nowNanos;
    }

    @Override
    public void cancel() {
        mLink.cancel(this);
    }

    long id() {
        return mId;
    }

    CallSpec spec() {
        return mSpec;
    }

    long startedNanos() {
        return mStartedNanos;
    }

    boolean isSent() {
        return mSent;
    }

    void markSent() {
        mSent = true;
    }

    void setLoad(LoadReport load) {
        mLoad = load;
    }

    /**
     * Starts a response. One that is sent again after a reconnect replaces the incomplete first
     * one.
     */
    void onAnswer(CallAnswer answer) {
        mAnswer = answer;
        mBody.clear();
        mBodyBytes = 0;
        if (answer.getMore() && mHolding.isEmpty()) {
            mHolding = Optional.of(mLink.memory().open(this::evict));
        }
        append(answer.getBody());
    }

    private void append(ByteString bytes) {
        mBody.add(bytes.toByteArray());
        mBodyBytes += bytes.size();
        mHolding.ifPresent(h -> h.resize(mBodyBytes));
    }

    private void evict() {
        mLink.abort(this, "the node holds too many bytes of answers");
    }

    boolean onData(CallData data) {
        if (mAnswer == null) {
            return false;
        }
        append(data.getBody());
        return true;
    }

    /** Returns the answer. One that cannot be written as HTTP counts as lost. */
    CallResult toResult() {
        CallResult.Answered answer = CallMessages.toAnswered(mAnswer, Body.ofSegments(mBody));
        boolean isFinalStatus = answer.status() >= MIN_STATUS && answer.status() <= MAX_STATUS;
        return isFinalStatus && Fields.areValid(answer.fields())
                ? answer
                : new CallResult.MaybeRun("the node passed on an answer that is not HTTP");
    }

    /** Sets the part of the request's body that has not been written yet. */
    void setUnsentBody(BodyInput<LinkMessage> body) {
        mUnsentBody = Optional.of(body);
    }

    /** Frees what is kept for this call, which has ended. */
    void release() {
        mUnsentBody.ifPresent(BodyInput::stop);
        mHolding.ifPresent(Holding::close);
    }

    void done(CallResult result) {
        mListener.done(result, mLoad);
    }
}
