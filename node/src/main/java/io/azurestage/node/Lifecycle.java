package io.azurestage.node;

/** Where a node is in its life. */
enum Lifecycle {
    /** No configuration yet: refuses everything. */
    JOINING,
    /** Takes work. */
    SERVING,
    /** Others are being told that it leaves; still takes work. */
    LEAVING,
    /** Takes no new work, finishes what is in progress. */
    DRAINING
}
