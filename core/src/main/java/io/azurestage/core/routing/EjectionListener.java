package io.azurestage.core.routing;

import java.time.Duration;

/**
 * Receives notice when servers are ejected from routing and restored to it. Called with the lock of
 * the service held, so that notifications arrive in order: implementations must return quickly and
 * must not call the router.
 */
public interface EjectionListener {
    /** Ignores all notifications. */
    EjectionListener NONE =
            new EjectionListener() {
                @Override
                public void onEjected(Endpoint e, Duration howLong, String reason) {}

                @Override
                public void onRestored(Endpoint e) {}
            };

    /**
     * Called when a server has been ejected from routing.
     *
     * @param e the server
     * @param howLong length of the ejection; it ends earlier if too few servers remain
     * @param reason the failures that caused the ejection
     */
    void onEjected(Endpoint e, Duration howLong, String reason);

    /**
     * Called when a server has been restored to routing. Not called for a server that has left or
     * is draining.
     *
     * @param e the server
     */
    void onRestored(Endpoint e);
}
