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
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;

/**
 * Collects a response and reports it as complete only if its framing marks its end and the end was
 * received.
 */
final class ResponseReader implements Response.Listener {
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_STATUS = 599;

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
    public void onHeaders(Response response) {
        fault(response).ifPresent(reason -> response.abort(new IOException(reason)));
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
        mResult.complete(
                new AttemptResult.Complete(
                        response.getStatus(), headers(response), mBuffer.toByteArray(), mStreamed));
    }

    /** Returns what Jetty leaves open in a head and makes the response unusable. */
    private Optional<String> fault(Response response) {
        int status = response.getStatus();
        if (status < MIN_FINAL_STATUS || status > MAX_STATUS) {
            return Optional.of("the response has the status " + status);
        }
        if (response.getVersion() == HttpVersion.HTTP_2) {
            return Optional.of("the response is not one of HTTP/1");
        }
        HttpFields fields = response.getHeaders();
        if (fields.contains(HttpHeader.TRANSFER_ENCODING)) {
            String coding = String.join(",", fields.getValuesList(HttpHeader.TRANSFER_ENCODING));
            boolean chunked = HttpHeaderValue.CHUNKED.is(coding);
            return chunked && response.getVersion() == HttpVersion.HTTP_1_1
                    ? Optional.empty()
                    : Optional.of("the response has the transfer coding " + coding);
        }
        boolean delimited =
                fields.contains(HttpHeader.CONTENT_LENGTH)
                        || mMethod.equals("HEAD")
                        || status == HttpStatus.NO_CONTENT_204
                        || status == HttpStatus.NOT_MODIFIED_304;
        return delimited
                ? Optional.empty()
                : Optional.of(
                        "the response has no length, so its end cannot be told"
                                + " from a broken connection");
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
