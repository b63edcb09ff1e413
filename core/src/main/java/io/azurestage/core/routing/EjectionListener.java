package io.azurestage.core.routing;

import java.time.Duration;

/**
 * Hears which servers are taken out of routing. Called while the service is locked, so that reports
 * arrive in order: it must return quickly and must not call the router.
 */
public interface EjectionListener {
    /** Ignores all reports. */
    EjectionListener NONE =
            new EjectionListener() {
                @Override
                public void onEjected(Endpoint e, Duration howLong, String reason) {}

                @Override
                public void onRestored(Endpoint e) {}
            };

    /**
     * A server was taken out of routing.
     *
     * @param e the server
     * @param howLong when it comes back, unless too few servers are left before
     * @param reason the failures that led to it
     */
    void onEjected(Endpoint e, Duration howLong, String reason);

    /**
     * A server came back into routing. Not reported for a server that is gone or draining.
     *
     * @param e the server
     */
    void onRestored(Endpoint e);
}
