package io.azurestage.core.backend;

/**
 * One incarnation of a backend server.
 *
 * @param serverId id of the server
 * @param startedAtMillis start time of this incarnation, epoch milliseconds; 0 if unknown
 * @param service service that the server belongs to
 * @param address address at which the server accepts requests, {@code host:port}
 * @param slots maximum number of concurrent requests
 * @param state whether the server accepts new requests
 */
public record BackendServer(
        String serverId,
        long startedAtMillis,
        String service,
        String address,
        int slots,
        BackendState state) {

    /** Latest start time that is taken for one: the end of the year 9999, in epoch milliseconds. */
    private static final long MAX_STARTED_AT_MILLIS = 253_402_300_799_999L;

    /** No backend server runs more requests at once; a higher number would attract all of them. */
    private static final int MAX_SLOTS = 1_000_000;

    /**
     * Validates the numbers, which come from other processes.
     *
     * @throws IllegalArgumentException if the start time or the number of slots is out of range
     */
    public BackendServer {
        checkStart(startedAtMillis);
        checkSlots(slots);
    }

    /**
     * Checks a start time that another process has stated.
     *
     * @param startedAtMillis start time in epoch milliseconds, 0 if it is unknown
     * @throws IllegalArgumentException if it is negative or after the year 9999
     */
    public static void checkStart(long startedAtMillis) {
        if (startedAtMillis < 0 || startedAtMillis > MAX_STARTED_AT_MILLIS) {
            throw new IllegalArgumentException(
                    "invalid start time: "
                            + startedAtMillis
                            + "; must be epoch milliseconds, 0 to "
                            + MAX_STARTED_AT_MILLIS);
        }
    }

    static void checkSlots(int slots) {
        if (slots < 1 || slots > MAX_SLOTS) {
            throw new IllegalArgumentException(
                    "invalid number of slots: " + slots + "; must be 1 to " + MAX_SLOTS);
        }
    }

    /**
     * Returns this incarnation in another state.
     *
     * @param newState the state
     * @return a copy
     */
    public BackendServer withState(BackendState newState) {
        return new BackendServer(serverId, startedAtMillis, service, address, slots, newState);
    }

    /**
     * Reports whether an id and a start time denote this incarnation.
     *
     * @param id id of a server
     * @param startedAt start of its incarnation in epoch milliseconds
     * @return whether both are those of this server
     */
    public boolean isSameIncarnation(String id, long startedAt) {
        return serverId.equals(id) && startedAtMillis == startedAt;
    }
}
