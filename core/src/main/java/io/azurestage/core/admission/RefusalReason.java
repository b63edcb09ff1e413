package io.azurestage.core.admission;

/** Reason for which a request was refused. A refused request has not been executed. */
public enum RefusalReason {
    /** The server has no capacity left for this class of work. */
    OVERLOADED,
    /** The partner exceeds its share and no other partner has unused share to lend. */
    SHARE_EXHAUSTED,
    /** The request cannot complete before its deadline. */
    DEADLINE_EXCEEDED,
    /** The server states a rate limit that is used up; other servers may have room. */
    SERVER_LIMIT
}
