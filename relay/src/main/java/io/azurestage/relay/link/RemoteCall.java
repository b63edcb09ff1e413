package io.azurestage.relay.link;

import io.azurestage.relay.call.CallHandle;
import io.azurestage.relay.call.CallListener;
import io.azurestage.relay.call.CallResult;
import io.azurestage.relay.call.CallSpec;
import io.azurestage.relay.call.LoadReport;
import io.azurestage.wire.generated.link.CallAnswer;
import io.azurestage.wire.generated.link.CallData;
import java.io.ByteArrayOutputStream;

/** A call to a peer, from its start to its result. */
final class RemoteCall implements CallHandle {
    private final LinkClient mLink;
    private final long mId;
    private final CallSpec mSpec;
    private final CallListener mListener;
    private final long mStartedNanos;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
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
        mBody.reset();
        mBody.writeBytes(answer.getBody().toByteArray());
    }

    boolean onData(CallData data) {
        if (mAnswer == null) {
            return false;
        }
        mBody.writeBytes(data.getBody().toByteArray());
        return true;
    }

    CallResult toResult() {
        return CallMessages.toAnswered(mAnswer, mBody.toByteArray());
    }

    void done(CallResult result) {
        mListener.done(result, mLoad);
    }
}
