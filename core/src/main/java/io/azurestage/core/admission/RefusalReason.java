package io.azurestage.core.admission;

/** Why admission refused a request. A refused request has not run. */
public enum RefusalReason {
    /** The server has no capacity left for this class of work. */
    OVERLOADED,
    /** The partner is over its share and no other partner lends. */
    SHARE_EXHAUSTED,
    /** The request cannot finish before its deadline. */
    DEADLINE_EXCEEDED
}
