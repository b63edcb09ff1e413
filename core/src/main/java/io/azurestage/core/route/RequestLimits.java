package io.azurestage.core.route;

import java.time.Duration;

/**
 * What a caller may send and how long it may take.
 *
 * @param maxHeaderBytes largest request head
 * @param maxBodyBytes largest request body
 * @param headerTimeout longest time for a request head, from its first byte
 * @param idleTimeout longest time a connection may stay without a request
 */
public record RequestLimits(
        int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    private static final int DEFAULT_HEADER_BYTES = 16 << 10;
    private static final long DEFAULT_BODY_BYTES = 64L << 20;

    /**
     * Returns the limits in force before any configuration is known: 16 KiB, 64 MiB, 3 s and 15 s.
     *
     * @return the limits
     */
    public static RequestLimits defaults() {
        return new RequestLimits(
                DEFAULT_HEADER_BYTES,
                DEFAULT_BODY_BYTES,
                Duration.ofSeconds(3),
                Duration.ofSeconds(15));
    }
}
