package io.azurestage.node;

/** State of a request or node when a fault is injected; the columns of docs/fault-matrix.md. */
enum Step {
    ARRIVAL,
    QUEUED,
    DISPATCHED,
    RUNNING,
    ANSWER_UNDER_WAY,
    ANSWERED,
    JOINING,
    DRAINING,
    CONFIGURATION_PUSH
}
