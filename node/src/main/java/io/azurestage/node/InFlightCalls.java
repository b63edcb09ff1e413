package io.azurestage.node;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.http.HttpFields;

/** Counts the calls in progress at this node, so that a draining node can wait for them. */
final class InFlightCalls {
    private final AtomicInteger mOpen = new AtomicInteger();
    private final NodeMetrics mMetrics;

    InFlightCalls(NodeMetrics metrics) {
        mMetrics = metrics;
    }

    int open() {
        return mOpen.get();
    }

    /** Counts a call until it is answered; a streamed answer counts until it ends. */
    AnswerSink track(Call call, AnswerSink next) {
        mOpen.incrementAndGet();
        return new Tracked(call, next);
    }

    private final class Tracked implements AnswerSink {
        private final Call mCall;
        private final AnswerSink mNext;
        private final AtomicBoolean mEnded = new AtomicBoolean();

        Tracked(Call call, AnswerSink next) {
            mCall = call;
            mNext = next;
        }

        @Override
        public void refuse(Refusal r) {
            if (end()) {
                mMetrics.refusals()
                        .labelValues(r.kind().text(), mCall.partner(), mCall.workClass().name())
                        .inc();
                mNext.refuse(r);
            }
        }

        @Override
        public void respond(int status, HttpFields headers, byte[] body) {
            if (end()) {
                mMetrics.completed().labelValues(mCall.partner(), mCall.workClass().name()).inc();
                mNext.respond(status, headers, body);
            }
        }

        @Override
        public StreamSink stream(int status, HttpFields headers) {
            return new NotifyingStream(mNext.stream(status, headers), this::end);
        }

        private boolean end() {
            if (!mEnded.compareAndSet(false, true)) {
                return false;
            }
            mOpen.decrementAndGet();
            return true;
        }
    }
}
