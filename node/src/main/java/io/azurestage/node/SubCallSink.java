package io.azurestage.node;

import org.eclipse.jetty.http.HttpFields;

/** Ends the waiting time of the parent request when the answer of a sub-call is there. */
final class SubCallSink implements AnswerSink {
    private final AnswerSink mNext;
    private final Runnable mEnded;

    SubCallSink(AnswerSink next, Runnable ended) {
        mNext = next;
        mEnded = ended;
    }

    @Override
    public void refuse(Refusal r) {
        mEnded.run();
        mNext.refuse(r);
    }

    @Override
    public void whole(int status, HttpFields headers, byte[] body) {
        mEnded.run();
        mNext.whole(status, headers, body);
    }

    @Override
    public StreamSink stream(int status, HttpFields headers) {
        return new NotifyingStream(mNext.stream(status, headers), mEnded);
    }
}
