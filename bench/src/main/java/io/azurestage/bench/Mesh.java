package io.azurestage.bench;

import io.azurestage.bench.standin.StandInBackend;
import java.net.URI;
import java.util.List;

/** A running mesh of stand-in backends, with or without nodes. */
interface Mesh extends AutoCloseable {
    /** Addresses that callers may call. */
    List<URI> entries();

    /** Whether the entries issue tickets. */
    boolean tickets();

    /** All backend servers. */
    List<StandInBackend> backends();

    @Override
    void close();
}
