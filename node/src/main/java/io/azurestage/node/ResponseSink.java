package io.azurestage.node;

import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes the answer of a call to an HTTP response. */
final class ResponseSink implements AnswerSink {
    private static final int MILLIS_PER_SECOND = 1_000;

    private final Response mResponse;
    private final Callback mCallback;
    private final String mRequestId;
    private final Function<Outcome, HttpFields> mOutcomeHeaders;
    private final AtomicBoolean mAnswered = new AtomicBoolean();

    /** Result of a call, from which the additional header fields of its answer are derived. */
    record Outcome(AnswerMeta.RanState ran, String kind) {}

    ResponseSink(
            Response response,
            Callback callback,
            String requestId,
            Function<Outcome, HttpFields> outcomeHeaders) {
        mResponse = response;
        mCallback = callback;
        mRequestId = requestId;
        mOutcomeHeaders = outcomeHeaders;
    }

    @Override
    public void refuse(Refusal r) {
        if (!mAnswered.compareAndSet(false, true)) {
            return;
        }
        AnswerMeta.RanState ran =
                r.ran() == Ran.NOT_RUN ? AnswerMeta.RanState.NOT_RUN : AnswerMeta.RanState.UNKNOWN;
        mResponse.setStatus(r.kind().status());
        HttpFields.Mutable h = mResponse.getHeaders();
        h.put(HttpHeader.CONTENT_TYPE, Refusal.CONTENT_TYPE);
        h.put(Headers.REFUSAL, r.kind().text());
        if (r.kind() == RefusalKind.UNAUTHENTICATED) {
            h.put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
        }
        if (!r.retryAfter().isZero()) {
            long seconds = (r.retryAfter().toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            h.put(HttpHeader.RETRY_AFTER, seconds);
            h.put(Headers.RETRY_AFTER_MS, r.retryAfter().toMillis());
        }
        putAll(mOutcomeHeaders.apply(new Outcome(ran, r.kind().text())));
        write(r.json(mRequestId));
    }

    @Override
    public void respond(int status, HttpFields headers, byte[] body) {
        if (!mAnswered.compareAndSet(false, true)) {
            return;
        }
        start(status, headers);
        write(body);
    }

    @Override
    public StreamSink stream(int status, HttpFields headers) {
        if (!mAnswered.compareAndSet(false, true)) {
            return new RejectingStream();
        }
        start(status, headers);
        return new Stream();
    }

    private void start(int status, HttpFields headers) {
        mResponse.setStatus(status);
        putAll(headers);
        putAll(mOutcomeHeaders.apply(new Outcome(AnswerMeta.RanState.RAN, "")));
    }

    private void putAll(HttpFields fields) {
        for (HttpField f : fields) {
            mResponse.getHeaders().add(f);
        }
    }

    private void write(byte[] body) {
        mResponse.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        mResponse.write(true, ByteBuffer.wrap(body), mCallback);
    }

    private final class Stream implements StreamSink {
        @Override
        public void write(ByteBuffer part, Runnable written, Consumer<Throwable> failed) {
            mResponse.write(false, part, Callback.from(written, failed));
        }

        @Override
        public void end() {
            mResponse.write(true, ByteBuffer.allocate(0), mCallback);
        }

        @Override
        public void abort(Throwable cause) {
            mCallback.failed(cause);
        }
    }
}
