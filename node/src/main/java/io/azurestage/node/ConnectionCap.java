package io.azurestage.node;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.IdleTimeout;
import org.eclipse.jetty.server.Request;

/**
 * Bounds the number of connections at all listeners of a node. One too many ends the connection
 * that is least in use: the one that has been without a request for longest, else the oldest whose
 * request is incomplete. If the requests of all are complete, some more connections are accepted,
 * so that their requests can be refused. Thread-safe.
 */
final class ConnectionCap implements Connection.Listener {
    /** Number of connections for each that is accepted beyond the limit. */
    private static final int CONNECTIONS_PER_EXTRA = 16;

    private final int mMaxConnections;
    private final int mMaxWithExtra;
    private final Set<Connection> mConnections = new LinkedHashSet<>();
    private final Set<Connection> mIncomplete = new LinkedHashSet<>();

    /**
     * Creates a cap.
     *
     * @param maxConnections largest number of connections whose requests are handled
     */
    ConnectionCap(int maxConnections) {
        mMaxConnections = maxConnections;
        mMaxWithExtra = maxConnections + Math.max(1, maxConnections / CONNECTIONS_PER_EXTRA);
    }

    @Override
    public void onOpened(Connection connection) {
        Optional<Connection> least = Optional.empty();
        synchronized (this) {
            mConnections.add(connection);
            if (mConnections.size() > mMaxConnections) {
                least = leastInUse(connection);
                least.ifPresent(this::exclude);
            }
        }
        least.ifPresent(Connection::close);
    }

    /** Returns the connection to close for a new one, or none if there is room for a refusal. */
    private Optional<Connection> leastInUse(Connection added) {
        return mConnections.stream()
                .filter(c -> isIdle(c) && c != added)
                .max(Comparator.comparingLong(ConnectionCap::idleMillis))
                .or(() -> mIncomplete.stream().findFirst())
                .or(
                        () ->
                                mConnections.size() > mMaxWithExtra
                                        ? Optional.of(added)
                                        : Optional.empty());
    }

    private static boolean isIdle(Connection c) {
        return c.getMessagesIn() == c.getMessagesOut();
    }

    /**
     * Makes room for a request that has arrived on a connection. If too many connections are in
     * use, the oldest other one whose request is incomplete is closed.
     *
     * @return false if too many connections have complete requests, so this one has to be refused
     */
    boolean makeRoom(Request request) {
        Connection own = request.getConnectionMetaData().getConnection();
        Optional<Connection> oldest;
        synchronized (this) {
            if (mConnections.size() <= mMaxConnections || connectionsInUse() <= mMaxConnections) {
                return true;
            }
            oldest = mIncomplete.stream().filter(c -> c != own).findFirst();
            oldest.ifPresent(this::exclude);
        }
        oldest.ifPresent(Connection::close);
        return oldest.isPresent();
    }

    private long connectionsInUse() {
        return mConnections.stream().filter(c -> !isIdle(c)).count();
    }

    private static long idleMillis(Connection c) {
        return c.getEndPoint() instanceof IdleTimeout e ? e.getIdleFor() : 0;
    }

    @Override
    public synchronized void onClosed(Connection connection) {
        exclude(connection);
    }

    /** Stops counting a connection, for instance of another node. */
    synchronized void exclude(Connection connection) {
        mConnections.remove(connection);
        mIncomplete.remove(connection);
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
