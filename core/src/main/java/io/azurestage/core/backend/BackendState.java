package io.azurestage.core.backend;

/** Whether a backend server takes new work. A server never returns to an earlier state. */
public enum BackendState {
    /** Takes new work. */
    READY,
    /** Finishes its work and takes new work only for a short time. */
    DRAINING,
    /** Has left or fallen silent. */
    GONE
}
