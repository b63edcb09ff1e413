package io.azurestage.node;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A link on loopback that can be cut and restored. */
final class TcpProxy implements AutoCloseable {
    private final ServerSocket mServer;
    private final HostPort mTarget;
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
    private volatile boolean mCut;

    TcpProxy(HostPort target) throws IOException {
        mTarget = target;
        mServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    HostPort address() {
        return new HostPort("127.0.0.1", mServer.getLocalPort());
    }

    /** Closes all connections and every new one. */
    void cut() {
        mCut = true;
        mOpen.forEach(TcpProxy::shut);
    }

    void restore() {
        mCut = false;
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                connect(mServer.accept());
            } catch (IOException e) {
                // The relay is closed.
            }
        }
    }

    private void connect(Socket in) {
        try {
            Socket out = new Socket(mTarget.host(), mTarget.port());
            mOpen.add(in);
            mOpen.add(out);
            daemon(() -> pump(in, out));
            daemon(() -> pump(out, in));
            if (mCut) {
                cut();
            }
        } catch (IOException e) {
            // The target is closed, so the link to it is too.
            shut(in);
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[1 << 16];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                out.write(buffer, 0, n);
            }
        } catch (IOException e) {
            // One side is gone; the other one is closed too.
        } finally {
            mOpen.remove(from);
            mOpen.remove(to);
        }
    }

    private static void shut(Socket s) {
        try {
            s.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    private static void daemon(Runnable task) {
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
