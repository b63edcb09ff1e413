package io.azurestage.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * An HTTP/1.1 connection that is also read while a request is handled, so that a client disconnect
 * is detected at once. Bytes that arrive meanwhile are buffered and returned by the next fill.
 */
final class DisconnectAwareEndPoint extends SocketChannelEndPoint {
    /** Further bytes stay in the socket buffer until the connection has read these. */
    private static final int EARLY_BUFFER_BYTES = 1_024;

    private final Callback mWatch =
            Callback.from(
                    Invocable.InvocationType.NON_BLOCKING, this::onReadable, this::onWatchFailed);
    private ByteBuffer mEarlyBytes = BufferUtil.EMPTY_BUFFER;
    private Callback mWaitingCallback;
    private Runnable mOnDisconnect = () -> {};
    private boolean mWatching;
    private boolean mInputEnded;
    private volatile boolean mOfNode;

    DisconnectAwareEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /** Notes that another node has opened this connection. */
    void markOfNode() {
        mOfNode = true;
    }

    /** Reports whether a call of another node has arrived over this connection. */
    boolean isOfNode() {
        return mOfNode;
    }

    /**
     * Watches for a disconnect until the next bytes arrive.
     *
     * @param onDisconnect runs when the client has closed or reset the connection
     */
    void watch(Runnable onDisconnect) {
        synchronized (this) {
            mOnDisconnect = onDisconnect;
            if (mWatching
                    || mInputEnded
                    || mEarlyBytes.hasRemaining()
                    || super.isFillInterested()) {
                return;
            }
            mWatching = true;
        }
        super.fillInterested(mWatch);
    }

    @Override
    public boolean isFillInterested() {
        synchronized (this) {
            return mWaitingCallback != null || !mWatching && super.isFillInterested();
        }
    }

    @Override
    public void fillInterested(Callback callback) {
        if (!deferCallback(callback)) {
            super.fillInterested(callback);
        }
    }

    @Override
    public boolean tryFillInterested(Callback callback) {
        return deferCallback(callback) || super.tryFillInterested(callback);
    }

    /**
     * Handles the callback here if a watch is running, or if buffered bytes or the end of the input
     * can be read already. Returns false if the callback has to be registered with the selector.
     */
    private boolean deferCallback(Callback callback) {
        synchronized (this) {
            if (mWatching) {
                mWaitingCallback = callback;
                return true;
            }
            if (!mEarlyBytes.hasRemaining() && !mInputEnded) {
                return false;
            }
        }
        callback.succeeded();
        return true;
    }

    @Override
    public synchronized int fill(ByteBuffer buffer) throws IOException {
        if (mEarlyBytes.hasRemaining()) {
            return BufferUtil.append(buffer, mEarlyBytes);
        }
        return mInputEnded ? -1 : super.fill(buffer);
    }

    private void onReadable() {
        Runnable onDisconnect;
        Callback waiting;
        synchronized (this) {
            int read = readEarlyBytes();
            if (read == 0 && mWaitingCallback == null) {
                super.fillInterested(mWatch);
                return;
            }
            mWatching = false;
            mInputEnded |= read < 0;
            onDisconnect = read < 0 ? mOnDisconnect : () -> {};
            waiting = mWaitingCallback;
            mWaitingCallback = null;
        }
        onDisconnect.run();
        if (waiting != null) {
            waiting.succeeded();
        }
    }

    private int readEarlyBytes() {
        ByteBuffer buffer = BufferUtil.allocate(EARLY_BUFFER_BYTES);
        try {
            int read = super.fill(buffer);
            mEarlyBytes = read > 0 ? buffer : mEarlyBytes;
            return read;
        } catch (IOException e) {
            // A connection reset is handled like a close.
            return -1;
        }
    }

    /**
     * Watches on after an idle timeout, since the connection is idle while a request is handled.
     */
    private void onWatchFailed(Throwable cause) {
        Callback waiting;
        boolean watchAgain;
        synchronized (this) {
            waiting = mWaitingCallback;
            mWaitingCallback = null;
            watchAgain = waiting == null && cause instanceof TimeoutException && isOpen();
            mWatching = watchAgain;
        }
        if (watchAgain) {
            super.fillInterested(mWatch);
        } else if (waiting != null) {
            waiting.failed(cause);
        }
    }
}
