package io.azurestage.node;

import org.eclipse.jetty.http2.RateControl;
import org.eclipse.jetty.http2.WindowRateControl;
import org.eclipse.jetty.io.EndPoint;

/**
 * Limits the stream resets and other frames that a client may send over an HTTP/2 connection, but
 * not those of other nodes. A node resets a stream for each call that its caller gave up, and a
 * connection closed for too many of them would break all other calls on it.
 */
final class NodeRateControl implements RateControl.Factory {
    /** Resets, settings, pings and nearly empty frames that a client may send. */
    private static final int CLIENT_FRAMES_PER_SECOND = 128;

    @Override
    public RateControl newRateControl(EndPoint endPoint) {
        RateControl ofClient = WindowRateControl.fromEventsPerSecond(CLIENT_FRAMES_PER_SECOND);
        return frame ->
                endPoint instanceof DisconnectAwareEndPoint e && e.isOfNode()
                        || ofClient.onEvent(frame);
    }
}
