package io.azurestage.bench.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** One waiting watch: writes its messages one after the other. Thread-safe. */
final class StandInStoreWatch {
    private final String mKey;
    private final String mEnd;
    private final Response mResponse;
    private final Callback mCallback;
    private final Runnable mOnEnd;
    private final Queue<ByteBuffer> mQueue = new ArrayDeque<>();
    private boolean mWriting;
    private boolean mLast;
    private boolean mDone;

    StandInStoreWatch(
            String key, String end, Response response, Callback callback, Runnable onEnd) {
        mKey = key;
        mEnd = end;
        mResponse = response;
        mCallback = callback;
        mOnEnd = onEnd;
    }

    boolean covers(String key) {
        if (mEnd.isEmpty()) {
            return key.equals(mKey);
        }
        return key.compareTo(mKey) >= 0 && ("\0".equals(mEnd) || key.compareTo(mEnd) < 0);
    }

    void send(JsonNode message) {
        synchronized (this) {
            if (mLast) {
                return;
            }
            mQueue.add(ByteBuffer.wrap((message + "\n").getBytes(StandardCharsets.UTF_8)));
        }
        write();
    }

    /** Ends the stream in an orderly way, after the messages sent before. */
    void finish() {
        synchronized (this) {
            mLast = true;
        }
        write();
    }

    /** Cuts the connection. */
    void cut() {
        mResponse.getRequest().getConnectionMetaData().getConnection().getEndPoint().close();
        done(new IOException("watch cut"));
    }

    private void write() {
        ByteBuffer next;
        boolean last;
        synchronized (this) {
            if (mWriting || mDone || mQueue.isEmpty() && !mLast) {
                return;
            }
            mWriting = true;
            next = mQueue.isEmpty() ? ByteBuffer.allocate(0) : mQueue.remove();
            last = mLast && mQueue.isEmpty();
        }
        mResponse.write(last, next, Callback.from(() -> written(last), this::done));
    }

    private void written(boolean last) {
        synchronized (this) {
            mWriting = false;
        }
        if (last) {
            done(null);
        } else {
            write();
        }
    }

    private void done(Throwable failure) {
        synchronized (this) {
            if (mDone) {
                return;
            }
            mDone = true;
        }
        mOnEnd.run();
        if (failure == null) {
            mCallback.succeeded();
        } else {
            mCallback.failed(failure);
        }
    }
}
