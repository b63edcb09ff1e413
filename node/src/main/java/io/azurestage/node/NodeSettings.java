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
 * @param ingress where callers and other nodes connect
 * @param egress where the backend server connects for its outgoing calls
 * @param control where other nodes send control messages, over UDP and TCP
 * @param admin where operators connect
 * @param meshKey secret that all nodes share, hexadecimal
 * @param operatorTokenSha256 hash of the token that changes through the admin endpoint need
 * @param store addresses of the platform's key-value service
 * @param seeds control addresses of other nodes, used when the store is unreachable
 * @param warmUpMillis how long the backend server is cold after its start
 * @param maxBodyBytes largest request body
 * @param maxHeaderBytes largest request header
 * @param idleTimeoutMillis how long a connection may be idle
 * @param defaultDeadlineMillis deadline of requests that name none
 * @param maxDeadlineMillis longest deadline that a caller may ask for
 * @param drainGraceMillis how long a leaving node still takes new work while others learn of it
 * @param ticketWindowMillis how long tickets are honoured
 * @param maxTickets tickets remembered at once
 * @param eventCapacity events kept for the time line
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

    /** Fills in the defaults of optional settings. */
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
