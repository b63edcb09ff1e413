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
 * An HTTP/1.1 connection that is also read while a request is handled, so that a caller that goes
 * away is noticed at once. Bytes that arrive meanwhile are kept and handed out first.
 */
final class DisconnectAwareEndPoint extends SocketChannelEndPoint {
    /** More bytes stay in the socket until the connection reads these. */
    private static final int EARLY_BYTES = 1_024;

    private final Callback mWatch =
            Callback.from(Invocable.InvocationType.NON_BLOCKING, this::readable, this::failed);
    private ByteBuffer mEarly = BufferUtil.EMPTY_BUFFER;
    private Callback mWaiting;
    private Runnable mGone = () -> {};
    private boolean mWatching;
    private boolean mEnded;

    DisconnectAwareEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /**
     * Watches the connection for its end until the next bytes arrive.
     *
     * @param gone runs when the caller has closed or reset the connection
     */
    void watch(Runnable gone) {
        synchronized (this) {
            mGone = gone;
            if (mWatching || mEnded || mEarly.hasRemaining() || super.isFillInterested()) {
                return;
            }
            mWatching = true;
        }
        super.fillInterested(mWatch);
    }

    @Override
    public boolean isFillInterested() {
        synchronized (this) {
            return mWaiting != null || !mWatching && super.isFillInterested();
        }
    }

    @Override
    public void fillInterested(Callback callback) {
        if (!waits(callback)) {
            super.fillInterested(callback);
        }
    }

    @Override
    public boolean tryFillInterested(Callback callback) {
        return waits(callback) || super.tryFillInterested(callback);
    }

    /** Takes over the connection's interest where there are bytes already or a watch runs. */
    private boolean waits(Callback callback) {
        synchronized (this) {
            if (mWatching) {
                mWaiting = callback;
                return true;
            }
            if (!mEarly.hasRemaining() && !mEnded) {
                return false;
            }
        }
        callback.succeeded();
        return true;
    }

    @Override
    public synchronized int fill(ByteBuffer buffer) throws IOException {
        if (mEarly.hasRemaining()) {
            return BufferUtil.append(buffer, mEarly);
        }
        return mEnded ? -1 : super.fill(buffer);
    }

    private void readable() {
        Runnable gone;
        Callback waiting;
        synchronized (this) {
            int read = readEarly();
            if (read == 0 && mWaiting == null) {
                super.fillInterested(mWatch);
                return;
            }
            mWatching = false;
            mEnded |= read < 0;
            gone = read < 0 ? mGone : () -> {};
            waiting = mWaiting;
            mWaiting = null;
        }
        gone.run();
        if (waiting != null) {
            waiting.succeeded();
        }
    }

    private int readEarly() {
        ByteBuffer buffer = BufferUtil.allocate(EARLY_BYTES);
        try {
            int read = super.fill(buffer);
            mEarly = read > 0 ? buffer : mEarly;
            return read;
        } catch (IOException e) {
            // A reset ends the connection like a close.
            return -1;
        }
    }

    /** The idle timeout of a connection whose request is handled is no reason to stop watching. */
    private void failed(Throwable cause) {
        Callback waiting;
        boolean again;
        synchronized (this) {
            waiting = mWaiting;
            mWaiting = null;
            again = waiting == null && cause instanceof TimeoutException && isOpen();
            mWatching = again;
        }
        if (again) {
            super.fillInterested(mWatch);
        } else if (waiting != null) {
            waiting.failed(cause);
        }
    }
}
