package io.azurestage.core.event;

/** Severity of an event. */
public enum Severity {
    /** Normal operation. */
    INFO,
    /** Something an operator may want to look at. */
    WARNING,
    /** Something an operator must act on. */
    ERROR
}
