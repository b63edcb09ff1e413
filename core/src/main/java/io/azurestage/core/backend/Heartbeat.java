package io.azurestage.core.backend;

import java.time.Duration;

/**
 * What a backend server says of itself.
 *
 * @param serverId id of the server
 * @param startedAtMillis start of this incarnation, epoch milliseconds; 0 if unknown
 * @param service service that it belongs to
 * @param address address at which it takes requests, {@code host:port}
 * @param slots requests that it runs at once
 * @param draining whether it is about to leave
 * @param coldFor how much longer it stays slow after its start
 * @param sequence grows with each heartbeat of one incarnation
 */
public record Heartbeat(
        String serverId,
        long startedAtMillis,
        String service,
        String address,
        int slots,
        boolean draining,
        Duration coldFor,
        long sequence) {

    /** Validates the fields. */
    public Heartbeat {
        if (serverId.isEmpty() || service.isEmpty() || address.isEmpty()) {
            throw new IllegalArgumentException(
                    "a heartbeat needs a server id, a service and an address");
        }
        if (slots < 1) {
            throw new IllegalArgumentException("slots is " + slots + "; at least 1 is needed");
        }
    }
}
