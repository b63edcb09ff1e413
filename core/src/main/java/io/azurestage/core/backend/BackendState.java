package io.azurestage.core.backend;

/**
 * Whether a backend server accepts new requests. A draining server never becomes ready again; a
 * server that was considered gone because its heartbeats had stopped may return.
 */
public enum BackendState {
    /** Accepts new requests. */
    READY,
    /** Completes its running requests and accepts new ones only for a short time. */
    DRAINING,
    /** Has deregistered or stopped sending heartbeats. */
    GONE
}
