package io.azurestage.relay.link;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A loopback proxy that resets connections and swallows bytes of one direction. */
final class Relayed implements AutoCloseable {
    private final ServerSocket mListener;
    private final int mTarget;
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private volatile boolean mSwallowRequests;
    private volatile boolean mSwallowAnswers;
    private volatile int mConnections;

    Relayed(int target) throws IOException {
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

    void swallowRequests() {
        mSwallowRequests = true;
    }

    void swallowAnswers() {
        mSwallowAnswers = true;
    }

    /** Resets all connections and lets new ones pass whole. */
    void reset() throws IOException {
        List<Socket> open = List.copyOf(mSockets);
        mSockets.clear();
        for (Socket s : open) {
            s.setSoLinger(true, 0);
            s.close();
        }
        mSwallowRequests = false;
        mSwallowAnswers = false;
    }

    @Override
    public void close() {
        try {
            mListener.close();
            reset();
        } catch (IOException e) {
            throw new IllegalStateException("the proxy cannot be closed", e);
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket in = mListener.accept();
                Socket out = new Socket(InetAddress.getLoopbackAddress(), mTarget);
                mSockets.add(in);
                mSockets.add(out);
                mConnections++;
                start(() -> copy(in, out, true));
                start(() -> copy(out, in, false));
            }
        } catch (IOException e) {
            // The listener was closed at the end of the test.
            return;
        }
    }

    private void copy(Socket from, Socket to, boolean requests) {
        byte[] buffer = new byte[8_192];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int n = in.read(buffer);
            while (n >= 0) {
                if (requests ? !mSwallowRequests : !mSwallowAnswers) {
                    out.write(buffer, 0, n);
                }
                n = in.read(buffer);
            }
            to.close();
        } catch (IOException e) {
            // The connection was reset by the test.
            return;
        }
    }

    private static void start(Runnable task) {
        Thread t = new Thread(task, "relayed");
        t.setDaemon(true);
        t.start();
    }
}
