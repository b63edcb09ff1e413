package io.azurestage.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Collects a response and reports it as complete only if its framing marks its end and the end was
 * received.
 */
final class ResponseReader implements Response.Listener {
    private final String mMethod;
    private final int mMaxBuffered;
    private final BodySink mSink;
    private final CompletableFuture<AttemptResult> mResult;
    private final ByteArrayOutputStream mBuffer = new ByteArrayOutputStream();
    private long mStreamed;
    private boolean mTooLong;

    ResponseReader(
            String method,
            int maxBuffered,
            BodySink sink,
            CompletableFuture<AttemptResult> result) {
        mMethod = method;
        mMaxBuffered = maxBuffered;
        mSink = sink;
        mResult = result;
    }

    @Override
    public void onContent(Response response, ByteBuffer content) {
        try {
            store(content);
        } catch (IOException e) {
            throw new UncheckedIOException(e.getMessage(), e);
        }
    }

    private void store(ByteBuffer content) throws IOException {
        if (mStreamed == 0 && mBuffer.size() + content.remaining() <= mMaxBuffered) {
            byte[] bytes = new byte[content.remaining()];
            content.get(bytes);
            mBuffer.write(bytes);
            return;
        }
        if (mSink == null) {
            mTooLong = true;
            throw new IOException(
                    "the response is longer than "
                            + mMaxBuffered
                            + " bytes; pass a sink to the call");
        }
        if (mStreamed == 0) {
            mStreamed = mBuffer.size();
            mSink.write(ByteBuffer.wrap(mBuffer.toByteArray()));
            mBuffer.reset();
        }
        mStreamed += content.remaining();
        mSink.write(content);
    }

    @Override
    public void onComplete(Result result) {
        if (result.isFailed()) {
            completeAsLost(describe(result.getFailure()));
            return;
        }
        Response response = result.getResponse();
        if (!hasMarkedEnd(response)) {
            completeAsLost(
                    "the response has no length, so its end cannot be told"
                            + " from a broken connection");
            return;
        }
        mResult.complete(
                new AttemptResult.Complete(
                        response.getStatus(), headers(response), mBuffer.toByteArray(), mStreamed));
    }

    private boolean hasMarkedEnd(Response response) {
        int status = response.getStatus();
        if (mMethod.equals("HEAD") || status == 204 || status == 304) {
            return true;
        }
        var fields = response.getHeaders();
        return fields.contains(HttpHeader.CONTENT_LENGTH)
                || fields.contains(HttpHeader.TRANSFER_ENCODING, "chunked");
    }

    private void completeAsLost(String reason) {
        mResult.complete(new AttemptResult.Lost(reason, mStreamed == 0 && !mTooLong));
    }

    private static String describe(Throwable failure) {
        String message = failure.getMessage();
        return message == null ? failure.getClass().getSimpleName() : message;
    }

    private static Map<String, List<String>> headers(Response response) {
        Map<String, List<String>> headers = new HashMap<>();
        for (HttpField field : response.getHeaders()) {
            headers.computeIfAbsent(
                            field.getName().toLowerCase(Locale.ROOT), name -> new ArrayList<>())
                    .add(field.getValue());
        }
        return headers;
    }
}
