package io.azurestage.relay.http;

import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.core.memory.DescriptorLimit;
import io.azurestage.core.memory.MemoryAccount;
import io.azurestage.core.time.TimeSource;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Bounds what clients occupy at all listeners of a node together: memory, connections, and time of
 * the event loop. Confined to the event loop.
 */
public final class ClientGuard {
    /** Fraction of the heap that clients may occupy. The node's own state needs the rest. */
    private static final double HEAP_FRACTION = 0.5;

    /** Number of connections for each that is accepted beyond the limit. */
    private static final int CONNECTIONS_PER_EXTRA = 16;

    /** Reason for ending a connection or refusing its request. */
    static final String CONNECTIONS = "connections";

    private final MemoryAccount mMemory;
    private final int mMaxConnections;
    private final int mMaxWithExtra;
    private final String mIdName;
    private final Optional<EventLog> mEvents;
    private final ReadPacer mPacer = new ReadPacer();
    private final Set<InboundConnection> mConnections = new LinkedHashSet<>();

    /**
     * Creates a guard.
     *
     * @param memory account for all that clients occupy
     * @param maxConnections largest number of connections whose requests are handled
     * @param idName name of the header field with the request id
     * @param events records the connections that are ended, if it is given
     */
    public ClientGuard(
            MemoryAccount memory, int maxConnections, String idName, Optional<EventLog> events) {
        mIdName = idName;
        mMemory = memory;
        mMaxConnections = maxConnections;
        mMaxWithExtra = maxConnections + Math.max(1, maxConnections / CONNECTIONS_PER_EXTRA);
        mEvents = events;
    }

    /**
     * Creates a guard whose bounds follow from the largest heap and the descriptors of this
     * process.
     *
     * @param descriptors number of descriptors that the process may open
     * @param idName name of the header field with the request id
     * @param time clock
     * @param events records the connections that are ended, if it is given
     * @return the guard
     */
    public static ClientGuard of(
            DescriptorLimit descriptors,
            String idName,
            TimeSource time,
            Optional<EventLog> events) {
        return new ClientGuard(
                MemoryAccount.ofHeap(HEAP_FRACTION, time),
                descriptors.forClients(),
                idName,
                events);
    }

    /**
     * Returns the account.
     *
     * @return the account for all that clients occupy
     */
    public MemoryAccount memory() {
        return mMemory;
    }

    ReadPacer pacer() {
        return mPacer;
    }

    /**
     * Adds a connection. If there are too many, ends the one that is least in use: the one that has
     * been without a request for longest, else the oldest incomplete request. If all are busy, some
     * more are accepted, so that their requests can be refused.
     */
    void opened(InboundConnection connection) {
        mConnections.add(connection);
        if (mConnections.size() <= mMaxConnections) {
            return;
        }
        Optional<InboundConnection> least = leastInUse(connection);
        if (least.isPresent()) {
            least.get().end(CONNECTIONS);
        } else if (mConnections.size() > mMaxWithExtra) {
            connection.end(CONNECTIONS);
        }
    }

    private Optional<InboundConnection> leastInUse(InboundConnection except) {
        return mConnections.stream()
                .filter(c -> !c.isBusy() && c != except)
                .min(
                        Comparator.comparing(InboundConnection::hasRequest)
                                .thenComparingLong(InboundConnection::sinceNanos));
    }

    /**
     * Makes room for a request that begins on a connection. If too many connections have requests,
     * the oldest incomplete one is ended.
     *
     * @return false if the requests of all others are complete, so this one has to be refused
     */
    boolean makeRoom(InboundConnection connection) {
        if (mConnections.size() <= mMaxConnections || otherRequests(connection) < mMaxConnections) {
            return true;
        }
        Optional<InboundConnection> incomplete =
                leastInUse(connection).filter(InboundConnection::hasRequest);
        incomplete.ifPresent(c -> c.end(CONNECTIONS));
        return incomplete.isPresent();
    }

    private long otherRequests(InboundConnection connection) {
        return mConnections.stream().filter(c -> c != connection && c.hasRequest()).count();
    }

    void closed(InboundConnection connection) {
        mConnections.remove(connection);
    }

    /** Records that a connection is ended; the head is that of its request, if there is one. */
    void report(String reason, String state, long bytes, Optional<HttpRequest> head) {
        mEvents.ifPresent(
                e ->
                        e.record(
                                EventType.CLIENT_CUT_OFF,
                                head.map(h -> h.headers().get(mIdName, "")).orElse(""),
                                "",
                                Map.of(
                                        "reason", reason,
                                        "state", state,
                                        "bytes", Long.toString(bytes),
                                        "heldBytes", Long.toString(mMemory.heldBytes()),
                                        "connections", Integer.toString(mConnections.size()))));
    }
}
