package io.azurestage.node;

import io.azurestage.core.memory.Holding;
import io.azurestage.core.memory.SegmentedBuffer;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/**
 * Reads a request body into an array of its own, so that small chunks keep no buffers of the
 * connection. The body counts in the account of the node until the request has been answered.
 */
final class RequestBody implements Runnable {
    /** Chunks after which other requests have their turn on the thread. */
    private static final int MAX_CHUNKS_PER_TURN = 256;

    /** Memory of a request with its objects, apart from its body. */
    private static final int REQUEST_BYTES = 8 << 10;

    private final Request mRequest;
    private final int mLimit;
    private final ClientBounds mBounds;
    private final boolean mToEnd;
    private final Holding mHolding;
    private final CompletableFuture<byte[]> mDone = new CompletableFuture<>();
    private SegmentedBuffer mBytes = new SegmentedBuffer();
    private volatile Throwable mRefused;

    private RequestBody(Request request, int limit, boolean toEnd, ClientBounds bounds) {
        mBounds = bounds;
        mToEnd = toEnd;
        mRequest = request;
        mLimit = limit;
        mHolding = bounds.memory().open(() -> fail(new TooManyHeldBytesException()));
    }

    /** Reports whether the Content-Length of the request exceeds the limit in bytes. */
    static boolean isTooLong(Request request, int limit) {
        return request.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH) > limit;
    }

    /**
     * Reads the whole body.
     *
     * @param request the request
     * @param limit largest length in bytes
     * @param bounds bounds that the body counts in
     * @return the body. It fails if the body is too long, with a {@link TooManyHeldBytesException}
     *     if the node holds too much, or if the caller disconnects
     */
    static CompletableFuture<byte[]> read(Request request, int limit, ClientBounds bounds) {
        return read(new RequestBody(request, limit, false, bounds), request, bounds);
    }

    /**
     * Reads the whole body of another node's call. If it fails because of a bound, the rest is read
     * and dropped first: an HTTP/2 stream with an unread body is reset after the response, and the
     * client of the other node then drops the response.
     *
     * @param request the request
     * @param limit largest length in bytes
     * @param bounds bounds that the body counts in
     * @return the body, which fails like that of {@link #read}
     */
    static CompletableFuture<byte[]> readToEnd(Request request, int limit, ClientBounds bounds) {
        return read(new RequestBody(request, limit, true, bounds), request, bounds);
    }

    private static CompletableFuture<byte[]> read(
            RequestBody body, Request request, ClientBounds bounds) {
        Request.addCompletionListener(request, t -> body.mHolding.close());
        bounds.connections().bodyStarted(request);
        body.mDone.whenComplete((b, t) -> bounds.connections().bodyEnded(request));
        body.run();
        return body.mDone;
    }

    @Override
    public void run() {
        for (int i = 0; i < MAX_CHUNKS_PER_TURN; i++) {
            if (mDone.isDone()) {
                return;
            }
            Content.Chunk chunk = mRequest.read();
            if (chunk == null) {
                mRequest.demand(this);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                fail(chunk.getFailure());
                mDone.completeExceptionally(chunk.getFailure());
                return;
            }
            append(chunk);
        }
        mRequest.getComponents().getExecutor().execute(this);
    }

    /** Counts a chunk before it is copied, since many threads may copy at the same time. */
    private void append(Content.Chunk chunk) {
        int added = chunk.getByteBuffer().remaining();
        boolean counted = mRefused == null && count(added);
        if (counted) {
            keep(chunk.getByteBuffer());
        }
        boolean last = chunk.isLast();
        chunk.release();
        if (last && counted) {
            complete();
        } else if (last) {
            mDone.completeExceptionally(refused());
        }
    }

    /** Returns why the body is dropped. An eviction closes the holding before it states that. */
    private Throwable refused() {
        Throwable refused = mRefused;
        return refused == null ? new TooManyHeldBytesException() : refused;
    }

    private boolean count(int added) {
        long length = mBytes.length() + added;
        if (length > mLimit) {
            fail(new IllegalStateException("the body is longer than " + mLimit + " bytes"));
            return false;
        }
        return mHolding.resize(REQUEST_BYTES + mBytes.capacity() + added);
    }

    private synchronized void keep(ByteBuffer bytes) {
        mBytes.append(bytes);
    }

    private void complete() {
        long length = mBytes.length();
        if (!mHolding.resize(REQUEST_BYTES + mBytes.capacity() + length)) {
            mDone.completeExceptionally(refused());
            return;
        }
        mHolding.setEvictable(false);
        byte[] whole;
        synchronized (this) {
            whole = mBytes.toByteArray();
            mBytes = new SegmentedBuffer();
        }
        // An eviction just before has emptied the buffer.
        if (mHolding.resize(REQUEST_BYTES + length)) {
            mDone.complete(whole);
        } else {
            mDone.completeExceptionally(refused());
        }
    }

    /** Drops the body, and the rest of it if it has to be read to its end. */
    private void fail(Throwable cause) {
        synchronized (this) {
            mBytes = new SegmentedBuffer();
        }
        mHolding.close();
        mRefused = cause;
        if (!mToEnd) {
            mDone.completeExceptionally(cause);
        }
    }
}
