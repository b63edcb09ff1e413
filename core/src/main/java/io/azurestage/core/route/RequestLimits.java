package io.azurestage.core.route;

import java.time.Duration;

/**
 * Size and time limits for requests of callers.
 *
 * @param maxHeaderBytes maximum size of a request head in bytes
 * @param maxBodyBytes maximum size of a request body in bytes
 * @param headerTimeout maximum time to receive a request head, from its first byte
 * @param idleTimeout maximum time that a connection may stay open without a request
 */
public record RequestLimits(
        int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    private static final int DEFAULT_HEADER_BYTES = 16 << 10;
    private static final long DEFAULT_BODY_BYTES = 64L << 20;

    /**
     * Validates the sizes.
     *
     * @throws IllegalArgumentException if a size is not positive
     */
    public RequestLimits {
        if (maxHeaderBytes < 1 || maxBodyBytes < 1) {
            throw new IllegalArgumentException(
                    "limits of "
                            + maxHeaderBytes
                            + " bytes of header and "
                            + maxBodyBytes
                            + " bytes of body admit no request; use 1 or more");
        }
    }

    /**
     * Returns the limits that apply until a configuration is in force: 16 KiB of header, 64 MiB of
     * body, 3 s of header time-out and 15 s of idle time-out.
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
