package io.azurestage.node;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.Content;

/** Buffers a response up to {@link #MAX_BUFFERED_BYTES} and streams longer responses. */
final class ResponseReceiver
        implements Response.HeadersListener,
                Response.AsyncContentListener,
                Response.CompleteListener,
                Request.BeginListener {
    /** Size in bytes beyond which a response is streamed. */
    static final int MAX_BUFFERED_BYTES = 1 << 20;

    private final ResponseHandler mHandler;
    private final HttpVersion mVersion;
    private final ByteArrayOutputStream mBuffer = new ByteArrayOutputStream();
    private volatile boolean mSent;
    private StreamSink mStream;
    private long mStreamedBytes = -1;

    /** Creates a receiver for a response on a connection of this version. */
    ResponseReceiver(ResponseHandler handler, HttpVersion version) {
        mHandler = handler;
        mVersion = version;
    }

    void send(Request request) {
        request.onRequestBegin(this);
        request.send(this);
    }

    @Override
    public void onBegin(Request request) {
        mSent = true;
    }

    @Override
    public void onHeaders(Response response) {
        ResponseHead.fault(response, mVersion)
                .ifPresent(reason -> response.abort(new IOException(reason)));
    }

    @Override
    public void onContent(Response response, Content.Chunk chunk, Runnable demander) {
        ByteBuffer part = chunk.getByteBuffer();
        if (mStream == null && mBuffer.size() + part.remaining() <= MAX_BUFFERED_BYTES) {
            byte[] copy = new byte[part.remaining()];
            part.get(copy);
            mBuffer.writeBytes(copy);
            demander.run();
            return;
        }
        if (mStream == null) {
            startStream(response, part, demander, chunk);
        } else {
            pass(response, part, demander, chunk);
        }
    }

    private void startStream(
            Response response, ByteBuffer part, Runnable demander, Content.Chunk chunk) {
        mStream = mHandler.stream(response);
        mStreamedBytes = 0;
        chunk.retain();
        ByteBuffer buffered = ByteBuffer.wrap(mBuffer.toByteArray());
        mBuffer.reset();
        int size = buffered.remaining();
        mStream.write(
                buffered,
                () -> {
                    mStreamedBytes += size;
                    pass(response, part, demander, chunk);
                    chunk.release();
                },
                t -> {
                    chunk.release();
                    response.abort(t);
                });
    }

    private void pass(Response response, ByteBuffer part, Runnable demander, Content.Chunk chunk) {
        int size = part.remaining();
        chunk.retain();
        mStream.write(
                part,
                () -> {
                    mStreamedBytes += size;
                    chunk.release();
                    demander.run();
                },
                t -> {
                    chunk.release();
                    response.abort(t);
                });
    }

    @Override
    public void onComplete(Result result) {
        if (result.isFailed()) {
            mHandler.failed(result.getFailure(), mSent, mStreamedBytes);
        } else if (mStream != null) {
            mHandler.streamEnded(result.getResponse());
        } else {
            mHandler.received(result.getResponse(), mBuffer.toByteArray());
        }
    }
}
