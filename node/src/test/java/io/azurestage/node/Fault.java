package io.azurestage.node;

/** The faults that tests inject; the rows of docs/fault-matrix.md. */
enum Fault {
    DEEP_SLOWDOWN,
    SURGE,
    RETRY_STORM,
    NODE_KILLED,
    NODE_PAUSED,
    STORE_DOWN,
    STORE_SLOW,
    WRITE_ANSWER_LOST,
    LINK_LOST,
    LATE_OR_DUPLICATED,
    TRUNCATED_ANSWER,
    LYING_HEALTH
}
