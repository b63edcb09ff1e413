package io.azurestage.bench.standin;

import java.util.List;

/**
 * Describes a stand-in backend server.
 *
 * @param service name of its service
 * @param slots requests in work at the same time; a request keeps its slot during downstream calls,
 *     as in a server with one thread for each request
 * @param queue requests that wait for a slot, first in, first out; more are refused with 503
 * @param time service time of one request, without downstream calls
 * @param next services that a request calls after its own work
 * @param parallel whether the downstream calls are made at the same time
 * @param patternBytes length of the pattern file
 * @param seed seed of the service times and of random faults
 */
public record BackendSpec(
        String service,
        int slots,
        int queue,
        ServiceTime time,
        List<String> next,
        boolean parallel,
        long patternBytes,
        long seed) {
    private static final long DEFAULT_PATTERN_BYTES = 64L << 20;

    /** Copies the list and checks the numbers. */
    public BackendSpec {
        if (slots < 1 || queue < 0) {
            throw new IllegalArgumentException(
                    "slots must be at least 1 and queue at least 0: " + slots + ", " + queue);
        }
        next = List.copyOf(next);
    }

    /**
     * Describes a server with sequential downstream calls.
     *
     * @param service name of its service
     * @param slots requests in work at the same time
     * @param queue requests that wait for a slot
     * @param time service time
     * @param next services that a request calls after its own work
     * @param seed seed of the service times and of random faults
     */
    public BackendSpec(
            String service, int slots, int queue, ServiceTime time, List<String> next, long seed) {
        this(service, slots, queue, time, next, false, DEFAULT_PATTERN_BYTES, seed);
    }
}
