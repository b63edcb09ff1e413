package io.azurestage.node;

import java.util.List;

/**
 * Settings of one node, as docs/settings.md describes them. All durations are in milliseconds.
 *
 * @param nodeId stable name of this node
 * @param service service of the backend server beside this node
 * @param dataCentre data centre of this VM
 * @param region region of this VM
 * @param slots requests that the backend server can run at once
 * @param connectionLimit connections that the backend server accepts
 * @param backend address of the backend server
 * @param ingress listen address for callers and other nodes
 * @param egress listen address for the outgoing calls of the backend server
 * @param control listen address for control messages of other nodes, over UDP and TCP
 * @param admin listen address for operators
 * @param meshKey signing key shared by all nodes, hexadecimal
 * @param operatorTokenSha256 SHA-256 hash, in hexadecimal, of the token that is required for
 *     changes through the admin endpoint; empty if none is accepted
 * @param store addresses of the platform's key-value store
 * @param seeds control addresses of other nodes, used when the store is unreachable
 * @param warmUpMillis how long the backend server is warming up after its start
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param maxHeaderBytes maximum size of the request header or response header, in bytes
 * @param idleTimeoutMillis idle timeout of a connection
 * @param defaultDeadlineMillis deadline of requests that do not set one
 * @param maxDeadlineMillis longest deadline that a caller may set
 * @param drainGraceMillis how long a leaving node still accepts calls while others learn of it
 * @param ticketWindowMillis how long tickets are valid
 * @param maxTickets maximum number of tickets kept
 * @param eventCapacity maximum number of events kept in the event log
 */
public record NodeSettings(
        String nodeId,
        String service,
        String dataCentre,
        String region,
        int slots,
        int connectionLimit,
        HostPort backend,
        HostPort ingress,
        HostPort egress,
        HostPort control,
        HostPort admin,
        String meshKey,
        String operatorTokenSha256,
        List<HostPort> store,
        List<HostPort> seeds,
        Long warmUpMillis,
        Integer maxBodyBytes,
        Integer maxHeaderBytes,
        Long idleTimeoutMillis,
        Long defaultDeadlineMillis,
        Long maxDeadlineMillis,
        Long drainGraceMillis,
        Long ticketWindowMillis,
        Integer maxTickets,
        Integer eventCapacity) {

    /** Sets the defaults of optional settings. */
    public NodeSettings {
        store = store == null ? List.of() : List.copyOf(store);
        seeds = seeds == null ? List.of() : List.copyOf(seeds);
        operatorTokenSha256 = operatorTokenSha256 == null ? "" : operatorTokenSha256;
        warmUpMillis = orElse(warmUpMillis, 10_000L);
        maxBodyBytes = orElse(maxBodyBytes, 1 << 20);
        maxHeaderBytes = orElse(maxHeaderBytes, 16 << 10);
        idleTimeoutMillis = orElse(idleTimeoutMillis, 30_000L);
        defaultDeadlineMillis = orElse(defaultDeadlineMillis, 5_000L);
        maxDeadlineMillis = orElse(maxDeadlineMillis, 300_000L);
        drainGraceMillis = orElse(drainGraceMillis, 1_000L);
        ticketWindowMillis = orElse(ticketWindowMillis, 600_000L);
        maxTickets = orElse(maxTickets, 100_000);
        eventCapacity = orElse(eventCapacity, 20_000);
    }

    private static <T> T orElse(T value, T fallback) {
        return value == null ? fallback : value;
    }
}
