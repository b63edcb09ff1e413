package io.azurestage.node;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.IdleTimeout;
import org.eclipse.jetty.server.Request;

/**
 * Bounds the number of connections at all listeners of a node. One too many ends the connection
 * that is least in use: the one that has been without a request for longest, else the oldest whose
 * request is incomplete, else the new one. Thread-safe.
 */
final class ConnectionCap implements Connection.Listener {
    private final int mMaxConnections;
    private final Set<Connection> mConnections = new LinkedHashSet<>();
    private final Set<Connection> mIncomplete = new LinkedHashSet<>();

    ConnectionCap(int maxConnections) {
        mMaxConnections = maxConnections;
    }

    @Override
    public void onOpened(Connection connection) {
        Connection least = null;
        synchronized (this) {
            mConnections.add(connection);
            if (mConnections.size() > mMaxConnections) {
                least = leastInUse(connection);
                mConnections.remove(least);
                mIncomplete.remove(least);
            }
        }
        if (least != null) {
            least.close();
        }
    }

    private Connection leastInUse(Connection added) {
        return mConnections.stream()
                .filter(c -> isIdle(c) && c != added)
                .max(Comparator.comparingLong(ConnectionCap::idleMillis))
                .orElseGet(() -> mIncomplete.stream().findFirst().orElse(added));
    }

    private static boolean isIdle(Connection c) {
        return c.getMessagesIn() == c.getMessagesOut();
    }

    private static long idleMillis(Connection c) {
        return c.getEndPoint() instanceof IdleTimeout e ? e.getIdleFor() : 0;
    }

    @Override
    public synchronized void onClosed(Connection connection) {
        mConnections.remove(connection);
        mIncomplete.remove(connection);
    }

    /** Excludes a connection of another node, which takes no descriptors of clients. */
    synchronized void exclude(Connection ofNode) {
        mConnections.remove(ofNode);
        mIncomplete.remove(ofNode);
    }

    /** Notes that the body of a request is incomplete. */
    synchronized void bodyStarted(Request request) {
        Connection c = request.getConnectionMetaData().getConnection();
        if (mConnections.contains(c)) {
            mIncomplete.add(c);
        }
    }

    /** Notes that the body of a request is complete or given up. */
    synchronized void bodyEnded(Request request) {
        mIncomplete.remove(request.getConnectionMetaData().getConnection());
    }
}
