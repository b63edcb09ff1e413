package io.azurestage.node;

/** Lifecycle state of a node. */
enum Lifecycle {
    /** Not ready yet: refuses all calls. */
    JOINING,
    /** Accepts calls. */
    SERVING,
    /** Still accepts calls while the other nodes learn that it is leaving. */
    LEAVING,
    /** Refuses new calls and completes those in progress. */
    DRAINING
}
