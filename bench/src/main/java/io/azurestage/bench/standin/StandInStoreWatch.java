package io.azurestage.bench.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Response stream of one open watch: writes queued messages in order. Thread-safe. */
final class StandInStoreWatch {
    private final String mKey;
    private final String mEnd;
    private final Response mResponse;
    private final Callback mCallback;
    private final Runnable mOnEnd;
    private final Queue<ByteBuffer> mQueue = new ArrayDeque<>();
    private boolean mWriting;
    private boolean mFinishing;
    private boolean mCompleted;

    StandInStoreWatch(
            String key, String end, Response response, Callback callback, Runnable onEnd) {
        mKey = key;
        mEnd = end;
        mResponse = response;
        mCallback = callback;
        mOnEnd = onEnd;
    }

    boolean matches(String key) {
        if (mEnd.isEmpty()) {
            return key.equals(mKey);
        }
        return key.compareTo(mKey) >= 0 && ("\0".equals(mEnd) || key.compareTo(mEnd) < 0);
    }

    void send(JsonNode message) {
        synchronized (this) {
            if (mFinishing) {
                return;
            }
            mQueue.add(ByteBuffer.wrap((message + "\n").getBytes(StandardCharsets.UTF_8)));
        }
        write();
    }

    /** Ends the response after all queued messages have been written. */
    void finish() {
        synchronized (this) {
            mFinishing = true;
        }
        write();
    }

    /** Closes the connection without ending the response. */
    void closeConnection() {
        mResponse.getRequest().getConnectionMetaData().getConnection().getEndPoint().close();
        complete(new IOException("watch connection closed by the store"));
    }

    private void write() {
        ByteBuffer next;
        boolean last;
        synchronized (this) {
            if (mWriting || mCompleted || mQueue.isEmpty() && !mFinishing) {
                return;
            }
            mWriting = true;
            next = mQueue.isEmpty() ? ByteBuffer.allocate(0) : mQueue.remove();
            last = mFinishing && mQueue.isEmpty();
        }
        mResponse.write(last, next, Callback.from(() -> written(last), this::complete));
    }

    private void written(boolean last) {
        synchronized (this) {
            mWriting = false;
        }
        if (last) {
            complete(null);
        } else {
            write();
        }
    }

    private void complete(Throwable failure) {
        synchronized (this) {
            if (mCompleted) {
                return;
            }
            mCompleted = true;
        }
        mOnEnd.run();
        if (failure == null) {
            mCallback.succeeded();
        } else {
            mCallback.failed(failure);
        }
    }
}
