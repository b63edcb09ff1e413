package io.azurestage.core.backend;

/**
 * One incarnation of a backend server.
 *
 * @param serverId id of the server
 * @param startedAtMillis start of this incarnation, epoch milliseconds; 0 if unknown
 * @param service service that it belongs to
 * @param address address at which it takes requests, {@code host:port}
 * @param slots requests that it runs at once
 * @param state whether it takes new work
 */
public record BackendServer(
        String serverId,
        long startedAtMillis,
        String service,
        String address,
        int slots,
        BackendState state) {

    BackendServer in(BackendState s) {
        return new BackendServer(serverId, startedAtMillis, service, address, slots, s);
    }

    boolean isSameIncarnation(String id, long startedAt) {
        return serverId.equals(id) && startedAtMillis == startedAt;
    }
}
