package io.azurestage.node;

import org.eclipse.jetty.http.HttpFields;

/** Runs a hook when the answer to a sub-call has been received. */
final class SubCallSink implements AnswerSink {
    private final AnswerSink mNext;
    private final Runnable mOnEnd;

    SubCallSink(AnswerSink next, Runnable onEnd) {
        mNext = next;
        mOnEnd = onEnd;
    }

    @Override
    public void refuse(Refusal r) {
        mOnEnd.run();
        mNext.refuse(r);
    }

    @Override
    public void respond(int status, HttpFields headers, byte[] body) {
        mOnEnd.run();
        mNext.respond(status, headers, body);
    }

    @Override
    public StreamSink stream(int status, HttpFields headers) {
        return new NotifyingStream(mNext.stream(status, headers), mOnEnd);
    }
}
