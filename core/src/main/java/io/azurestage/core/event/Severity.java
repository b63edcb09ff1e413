package io.azurestage.core.event;

/** Severity of an event. */
public enum Severity {
    /** Normal operation. */
    INFO,
    /** A condition that an operator may want to investigate. */
    WARNING,
    /** A condition that requires action by an operator. */
    ERROR
}
