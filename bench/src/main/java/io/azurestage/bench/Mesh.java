package io.azurestage.bench;

import io.azurestage.bench.standin.StandInBackend;
import java.net.URI;
import java.util.List;

/** A running mesh of stand-in backend servers, with or without nodes. */
interface Mesh extends AutoCloseable {
    /**
     * Replacement of one backend server.
     *
     * @param lastNewWorkMs time from the start of the shutdown to the last new request, or 0 if
     *     none
     * @param cutOff requests in progress when the old server was closed
     */
    record Replacement(long lastNewWorkMs, int cutOff) {
        /** Reads the time of the last new request at a server that began to shut down at a time. */
        static Replacement of(long leftNanos, StandInBackend old, int cutOff) {
            long nanos = old.lastNewWorkNanos();
            long last = nanos == 0 ? 0 : Math.max(0, nanos - leftNanos);
            return new Replacement(last / 1_000_000, cutOff);
        }
    }

    /** Returns the addresses that callers may call. They change when servers are replaced. */
    List<URI> entries();

    /** Returns whether the entries issue tickets. */
    boolean tickets();

    /** Returns all backend servers except the replaced ones. */
    List<StandInBackend> backends();

    /**
     * Starts a new server, then shuts down the one that it replaces and waits for its end.
     *
     * @param old a server of this mesh
     * @param leaving runs when the old server starts to shut down, with the new addresses in force
     * @return observations at the old server
     */
    Replacement replace(StandInBackend old, Runnable leaving);

    @Override
    void close();
}
