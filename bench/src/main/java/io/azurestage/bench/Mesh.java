package io.azurestage.bench;

import io.azurestage.bench.standin.StandInBackend;
import java.net.URI;
import java.util.List;

/** A running mesh of stand-in backends, with or without nodes. */
interface Mesh extends AutoCloseable {
    /** What was seen when one backend server was replaced. */
    record Replacement(long lastNewWorkMs, int cutOff) {
        /** Reads the time of the last new work; 0 if none came after the server began to leave. */
        static Replacement of(long leftNanos, StandInBackend old, int cutOff) {
            long nanos = old.lastNewWorkNanos();
            long last = nanos == 0 ? 0 : Math.max(0, nanos - leftNanos);
            return new Replacement(last / 1_000_000, cutOff);
        }
    }

    /** Addresses that callers may call; they change when servers are replaced. */
    List<URI> entries();

    /** Whether the entries issue tickets. */
    boolean tickets();

    /** All backend servers that have not been replaced. */
    List<StandInBackend> backends();

    /**
     * Starts a new server in place of an old one, lets the old one leave and waits for its end.
     *
     * @param old a server of this mesh
     * @param leaving runs when the old server starts to leave, with the new addresses in force
     * @return what the old server saw
     */
    Replacement replace(StandInBackend old, Runnable leaving);

    @Override
    void close();
}
