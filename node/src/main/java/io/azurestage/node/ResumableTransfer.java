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
 * A long answer on its way to the caller. After a break, another backend server may send the rest
 * if a strong validator shows that it serves the same bytes. Thread-safe.
 */
final class ResumableTransfer {
    private static final Pattern CONTENT_RANGE =
            Pattern.compile("bytes ([0-9]{1,18})-([0-9]{1,18})/([0-9]{1,18})");
    private static final Pattern STRONG_ETAG = Pattern.compile("\"[^\"]*\"");

    private final StreamSink mCaller;
    private final Optional<String> mEtag;
    private Leg mCurrent;
    private Runnable mAfterWrite;
    private boolean mWriting;
    private boolean mOver;
    private long mPassed;
    private long mTotal = -1;

    private ResumableTransfer(StreamSink caller, Optional<String> etag) {
        mCaller = caller;
        mEtag = etag;
    }

    /**
     * Starts to pass an answer on. A broken answer can be resumed if it is the whole representation
     * that a GET without ranges asked for and offers a strong ETag and byte ranges.
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

    /** The first part of the answer, from the server that started it. */
    synchronized StreamSink first() {
        mCurrent = new Leg();
        return mCurrent;
    }

    /** Asks for the bytes that the caller does not have yet. */
    synchronized void ask(HttpFields.Mutable h) {
        h.remove(HttpHeader.IF_NONE_MATCH);
        h.remove(HttpHeader.IF_MODIFIED_SINCE);
        h.put(HttpHeader.RANGE, "bytes=" + mPassed + "-");
        mEtag.ifPresent(e -> h.put(HttpHeader.IF_RANGE, e));
    }

    /**
     * The next part of the answer; empty, with the transfer aborted, if the response is no part.
     */
    Optional<StreamSink> next(Response r) {
        Optional<StreamSink> leg = accept(r);
        if (leg.isEmpty()) {
            abort(new IOException("the other backend server does not serve the same bytes"));
        }
        return leg;
    }

    private synchronized Optional<StreamSink> accept(Response r) {
        if (mOver || !continues(r)) {
            return Optional.empty();
        }
        mCurrent = new Leg();
        return Optional.of(mCurrent);
    }

    /** Passes on a rest that is short enough to be held. */
    void last(Response r, byte[] rest) {
        next(r).ifPresent(s -> s.write(ByteBuffer.wrap(rest), s::end, s::abort));
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
        boolean sameTotal = mTotal < 0 || mTotal == total;
        mTotal = total;
        return sameTotal
                && Long.parseLong(m.group(1)) == mPassed
                && Long.parseLong(m.group(2)) == total - 1;
    }

    /** Takes nothing more from the current server, then acts once no write is under way. */
    void broken(Runnable action) {
        synchronized (this) {
            mCurrent = null;
            if (mWriting) {
                mAfterWrite = action;
                return;
            }
        }
        action.run();
    }

    /** Whether another backend server may continue the answer. */
    synchronized boolean isResumable() {
        return mEtag.isPresent() && !mOver;
    }

    void abort(Throwable cause) {
        if (finish()) {
            mCaller.abort(cause);
        }
    }

    private synchronized boolean finish() {
        boolean first = !mOver;
        mOver = true;
        mCurrent = null;
        return first;
    }

    private synchronized boolean startWrite(Leg leg) {
        if (mCurrent != leg) {
            return false;
        }
        mWriting = true;
        return true;
    }

    /** Ends a write; returns what waits for its end. */
    private synchronized Optional<Runnable> endWrite(int size) {
        mWriting = false;
        mPassed += size;
        Optional<Runnable> waiting = Optional.ofNullable(mAfterWrite);
        mAfterWrite = null;
        return waiting;
    }

    private synchronized boolean isWhole() {
        return mTotal < 0 || mPassed == mTotal;
    }

    /** What one backend server contributes. */
    private final class Leg implements StreamSink {
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
                        Optional<Runnable> waiting = endWrite(size);
                        if (waiting.isEmpty()) {
                            written.run();
                            return;
                        }
                        failed.accept(new IOException("the transfer broke off"));
                        waiting.get().run();
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
                        new IOException("the rest of the answer is too short"));
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
