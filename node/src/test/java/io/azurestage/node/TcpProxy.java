package io.azurestage.node;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP proxy on the loopback interface whose connections can be cut. */
final class TcpProxy implements AutoCloseable {
    private final ServerSocket mServer;
    private final HostPort mTarget;
    private final Set<Socket> mOpenSockets = ConcurrentHashMap.newKeySet();
    private volatile boolean mCut;

    TcpProxy(HostPort target) throws IOException {
        mTarget = target;
        mServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemon(this::accept);
    }

    HostPort address() {
        return new HostPort("127.0.0.1", mServer.getLocalPort());
    }

    /** Closes all connections, and new ones until {@link #restore}. */
    void cut() {
        mCut = true;
        mOpenSockets.forEach(TcpProxy::closeQuietly);
    }

    void restore() {
        mCut = false;
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                connect(mServer.accept());
            } catch (IOException e) {
                // The proxy is closed.
            }
        }
    }

    private void connect(Socket in) {
        try {
            Socket out = new Socket(mTarget.host(), mTarget.port());
            mOpenSockets.add(in);
            mOpenSockets.add(out);
            startDaemon(() -> copy(in, out));
            startDaemon(() -> copy(out, in));
            if (mCut) {
                cut();
            }
        } catch (IOException e) {
            // The target does not accept connections, so the client connection is closed too.
            closeQuietly(in);
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[1 << 16];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                out.write(buffer, 0, n);
            }
        } catch (IOException e) {
            // One connection has failed; the other one is closed too.
        } finally {
            mOpenSockets.remove(from);
            mOpenSockets.remove(to);
        }
    }

    private static void closeQuietly(Socket s) {
        try {
            s.close();
        } catch (IOException e) {
            // The socket is closed already.
        }
    }

    private static void startDaemon(Runnable task) {
        Thread t = new Thread(task, "relay");
        t.setDaemon(true);
        t.start();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        cut();
    }
}
