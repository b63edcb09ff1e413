package io.azurestage.node;

import io.azurestage.core.memory.BoundedMap;
import java.net.SocketException;
import java.nio.channels.ClosedChannelException;
import java.util.Map;
import org.eclipse.jetty.io.EofException;

/**
 * Numbers the generations of connections to each node. When a connection is lost, the others of its
 * generation take no new calls, since they may have broken with it without having been noticed yet;
 * a retry over one of them would spend the retry allowance. Calls in progress on them go on.
 * Thread-safe.
 */
final class ConnectionGenerations {
    /** Nodes beyond which the oldest are forgotten; their next call uses the first generation. */
    private static final int MAX_NODES = 8_192;

    private final Map<String, Long> mCurrent = new BoundedMap<>(MAX_NODES);

    /** Returns the generation for new calls to an address. */
    synchronized long current(String address) {
        return mCurrent.getOrDefault(address, 0L);
    }

    /** Begins another generation if the failure of a call means that its connection was lost. */
    synchronized void failed(String address, long generation, Throwable cause) {
        if (isLoss(cause) && current(address) == generation) {
            mCurrent.put(address, generation + 1);
        }
    }

    /** A reset of one stream is no loss of its connection. */
    private static boolean isLoss(Throwable cause) {
        return cause instanceof ClosedChannelException
                || cause instanceof EofException
                || cause instanceof SocketException;
    }
}
