package io.azurestage.bench.standin;

import java.util.List;

/**
 * Configuration of a stand-in backend server.
 *
 * @param service name of its service
 * @param slots maximum number of requests executing concurrently; a request holds its slot during
 *     downstream calls, as in a thread-per-request server
 * @param queue capacity of the FIFO queue for a slot; further requests are refused with 503
 * @param time service time of one request, without downstream calls
 * @param next services that a request calls after its own work
 * @param parallel whether the downstream calls are made concurrently
 * @param patternBytes length of the pattern file in bytes
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

    /**
     * Copies the list of services and validates the numbers.
     *
     * @throws IllegalArgumentException if there is no slot or the queue capacity is negative
     */
    public BackendSpec {
        if (slots < 1 || queue < 0) {
            throw new IllegalArgumentException(
                    "slots must be at least 1 and queue at least 0: " + slots + ", " + queue);
        }
        next = List.copyOf(next);
    }

    /**
     * Configures a server with sequential downstream calls and a pattern file of 64 MiB.
     *
     * @param service name of its service
     * @param slots maximum number of requests executing concurrently
     * @param queue capacity of the queue for a slot
     * @param time service time of one request, without downstream calls
     * @param next services that a request calls after its own work
     * @param seed seed of the service times and of random faults
     */
    public BackendSpec(
            String service, int slots, int queue, ServiceTime time, List<String> next, long seed) {
        this(service, slots, queue, time, next, false, DEFAULT_PATTERN_BYTES, seed);
    }
}
