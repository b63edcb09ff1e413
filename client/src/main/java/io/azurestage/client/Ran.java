package io.azurestage.client;

/** Whether a call without a complete response has run. */
public enum Ran {
    /** The call did not run, and never will. */
    NOT_RUN,
    /** The call may have run. */
    UNKNOWN
}
