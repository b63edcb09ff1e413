package io.azurestage.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Transfer of a streamed answer to the caller. If the transfer is interrupted, another backend
 * server may supply the remaining bytes, provided that a strong validator shows that it serves the
 * same representation. Thread-safe.
 */
final class ResumableTransfer {
    private static final Pattern CONTENT_RANGE =
            Pattern.compile("bytes ([0-9]{1,18})-([0-9]{1,18})/([0-9]{1,18})");
    private static final Pattern STRONG_ETAG = Pattern.compile("\"[^\"]*\"");

    private final StreamSink mCaller;
    private final Optional<String> mEtag;
    private Segment mCurrent;
    private Runnable mDeferredAction;
    private boolean mWriting;
    private boolean mFinished;
    private long mPassedBytes;
    private long mTotalBytes = -1;

    private ResumableTransfer(StreamSink caller, Optional<String> etag) {
        mCaller = caller;
        mEtag = etag;
    }

    /**
     * Starts the transfer. It can be resumed if the answer is the complete representation for a GET
     * request without a range and has a strong ETag and support for byte ranges.
     */
    static ResumableTransfer start(Call call, Response r, StreamSink caller) {
        HttpFields h = r.getHeaders();
        String etag = h.get(HttpHeader.ETAG);
        String ranges = String.valueOf(h.get(HttpHeader.ACCEPT_RANGES));
        boolean resumable =
                "GET".equals(call.method())
                        && call.ticket().isEmpty()
                        && r.getStatus() == HttpStatus.OK_200
                        && !call.headers().contains(HttpHeader.RANGE)
                        && etag != null
                        && STRONG_ETAG.matcher(etag).matches()
                        && "bytes".equals(ranges.trim().toLowerCase(Locale.ROOT));
        return new ResumableTransfer(caller, resumable ? Optional.of(etag) : Optional.empty());
    }

    /** Returns the sink for the server that started the answer. */
    synchronized StreamSink first() {
        mCurrent = new Segment();
        return mCurrent;
    }

    /** Sets the range header fields that request the bytes not yet passed to the caller. */
    synchronized void addRangeHeaders(HttpFields.Mutable h) {
        h.remove(HttpHeader.IF_NONE_MATCH);
        h.remove(HttpHeader.IF_MODIFIED_SINCE);
        h.put(HttpHeader.RANGE, "bytes=" + mPassedBytes + "-");
        mEtag.ifPresent(e -> h.put(HttpHeader.IF_RANGE, e));
    }

    /**
     * Returns the sink for a response that continues the answer. If the response does not continue
     * it, aborts the transfer and returns empty.
     */
    Optional<StreamSink> resume(Response r) {
        Optional<StreamSink> segment = accept(r);
        if (segment.isEmpty()) {
            abort(
                    new IOException(
                            "the resumed response does not continue the same representation"));
        }
        return segment;
    }

    private synchronized Optional<StreamSink> accept(Response r) {
        if (mFinished || !continues(r)) {
            return Optional.empty();
        }
        mCurrent = new Segment();
        return Optional.of(mCurrent);
    }

    /** Passes on the remaining bytes when they were short enough to be buffered. */
    void writeRemainder(Response r, byte[] remainder) {
        resume(r).ifPresent(s -> s.write(ByteBuffer.wrap(remainder), s::end, s::abort));
    }

    private boolean continues(Response r) {
        Matcher m =
                CONTENT_RANGE.matcher(String.valueOf(r.getHeaders().get(HttpHeader.CONTENT_RANGE)));
        if (r.getStatus() != HttpStatus.PARTIAL_CONTENT_206
                || !mEtag.equals(Optional.ofNullable(r.getHeaders().get(HttpHeader.ETAG)))
                || !m.matches()) {
            return false;
        }
        long total = Long.parseLong(m.group(3));
        boolean sameTotal = mTotalBytes < 0 || mTotalBytes == total;
        mTotalBytes = total;
        return sameTotal
                && Long.parseLong(m.group(1)) == mPassedBytes
                && Long.parseLong(m.group(2)) == total - 1;
    }

    /** Detaches the current server, then runs the action once no write is in progress. */
    void onInterrupted(Runnable action) {
        synchronized (this) {
            mCurrent = null;
            if (mWriting) {
                mDeferredAction = action;
                return;
            }
        }
        action.run();
    }

    /** Reports whether another backend server may continue the answer. */
    synchronized boolean isResumable() {
        return mEtag.isPresent() && !mFinished;
    }

    void abort(Throwable cause) {
        if (finish()) {
            mCaller.abort(cause);
        }
    }

    private synchronized boolean finish() {
        boolean first = !mFinished;
        mFinished = true;
        mCurrent = null;
        return first;
    }

    private synchronized boolean startWrite(Segment segment) {
        if (mCurrent != segment) {
            return false;
        }
        mWriting = true;
        return true;
    }

    /** Ends a write; returns the action that was deferred until its end. */
    private synchronized Optional<Runnable> endWrite(int size) {
        mWriting = false;
        mPassedBytes += size;
        Optional<Runnable> deferred = Optional.ofNullable(mDeferredAction);
        mDeferredAction = null;
        return deferred;
    }

    private synchronized boolean isWhole() {
        return mTotalBytes < 0 || mPassedBytes == mTotalBytes;
    }

    /** The part of the answer that one backend server sends. */
    private final class Segment implements StreamSink {
        @Override
        public void write(ByteBuffer part, Runnable written, Consumer<Throwable> failed) {
            if (!startWrite(this)) {
                failed.accept(new IOException("the transfer broke off"));
                return;
            }
            int size = part.remaining();
            mCaller.write(
                    part,
                    () -> {
                        Optional<Runnable> deferred = endWrite(size);
                        if (deferred.isEmpty()) {
                            written.run();
                            return;
                        }
                        failed.accept(new IOException("the transfer broke off"));
                        deferred.get().run();
                    },
                    t -> {
                        endWrite(0);
                        ResumableTransfer.this.abort(t);
                        failed.accept(t);
                    });
        }

        @Override
        public void end() {
            if (!isWhole()) {
                ResumableTransfer.this.abort(
                        new IOException("the resumed answer is shorter than its Content-Range"));
            } else if (finish()) {
                mCaller.end();
            }
        }

        @Override
        public void abort(Throwable cause) {
            ResumableTransfer.this.abort(cause);
        }
    }
}
