package io.azurestage.relay.link;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;

/**
 * A loopback TCP proxy for tests. It resets connections, discards the bytes of one direction of
 * open connections, and stalls all transfers to simulate an unresponsive node.
 */
final class FaultProxy implements AutoCloseable {
    /** A connection through the proxy. Discarding applies to connections open at that time only. */
    private static final class Connection {
        private final Socket mIn;
        private final Socket mOut;
        private volatile boolean mDiscardRequests;
        private volatile boolean mDiscardResponses;

        Connection(Socket in, Socket out) {
            mIn = in;
            mOut = out;
        }
    }

    private final ServerSocket mListener;
    private final int mTarget;
    private final List<Connection> mOpen = new CopyOnWriteArrayList<>();
    private volatile CountDownLatch mStall = new CountDownLatch(0);
    private volatile int mConnections;

    FaultProxy(int target) throws IOException {
        mTarget = target;
        mListener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    int port() {
        return mListener.getLocalPort();
    }

    int connections() {
        return mConnections;
    }

    void discardRequests() {
        mOpen.forEach(c -> c.mDiscardRequests = true);
    }

    void discardResponses() {
        mOpen.forEach(c -> c.mDiscardResponses = true);
    }

    /** Stalls all transfers, also on new connections, as if the node were frozen. */
    void stall() {
        mStall = new CountDownLatch(1);
    }

    /** Resumes stalled transfers. */
    void resume() {
        mStall.countDown();
    }

    /** Resets all open connections; new ones are forwarded without faults. */
    void reset() throws IOException {
        for (Connection c : mOpen) {
            mOpen.remove(c);
            closeWithReset(c.mIn);
            closeWithReset(c.mOut);
        }
    }

    private static void closeWithReset(Socket s) throws IOException {
        try {
            s.setSoLinger(true, 0);
        } catch (SocketException e) {
            // The peer has closed the socket already.
            return;
        }
        s.close();
    }

    @Override
    public void close() {
        try {
            resume();
            mListener.close();
            reset();
        } catch (IOException e) {
            throw new IllegalStateException("cannot close the proxy", e);
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket in = mListener.accept();
                Socket out = new Socket(InetAddress.getLoopbackAddress(), mTarget);
                Connection c = new Connection(in, out);
                mOpen.add(c);
                mConnections++;
                start(() -> copy(in, out, () -> c.mDiscardRequests));
                start(() -> copy(out, in, () -> c.mDiscardResponses));
            }
        } catch (IOException e) {
            // close() has closed the listener.
            return;
        }
    }

    private void copy(Socket from, Socket to, BooleanSupplier swallow) {
        byte[] buffer = new byte[8_192];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int n = in.read(buffer);
            while (n >= 0) {
                mStall.await();
                if (!swallow.getAsBoolean()) {
                    out.write(buffer, 0, n);
                }
                n = in.read(buffer);
            }
            to.close();
        } catch (IOException e) {
            // reset() or a peer has closed the connection.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void start(Runnable task) {
        Thread t = new Thread(task, "relayed");
        t.setDaemon(true);
        t.start();
    }
}
