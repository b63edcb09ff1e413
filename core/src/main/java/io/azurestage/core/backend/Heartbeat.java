package io.azurestage.core.backend;

import java.time.Duration;

/**
 * Heartbeat of a backend server.
 *
 * @param serverId id of the server
 * @param startedAtMillis start time of this incarnation, epoch milliseconds; 0 if unknown
 * @param service service that the server belongs to
 * @param address address at which the server accepts requests, {@code host:port}
 * @param slots maximum number of concurrent requests
 * @param draining whether the server is about to leave
 * @param remainingWarmUp remaining warm-up time, during which the server is slow after its start
 * @param sequence sequence number, increasing with each heartbeat of one incarnation
 */
public record Heartbeat(
        String serverId,
        long startedAtMillis,
        String service,
        String address,
        int slots,
        boolean draining,
        Duration remainingWarmUp,
        long sequence) {

    /**
     * Validates the fields.
     *
     * @throws IllegalArgumentException if the server id, the service or the address is empty, or if
     *     the start time or the number of slots is out of range
     */
    public Heartbeat {
        if (serverId.isEmpty() || service.isEmpty() || address.isEmpty()) {
            throw new IllegalArgumentException(
                    "invalid heartbeat: server id, service and address must not be empty");
        }
        BackendServer.checkStart(startedAtMillis);
        BackendServer.checkSlots(slots);
    }
}
