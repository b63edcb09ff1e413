package io.azurestage.core.event;

/**
 * Event types. Each has a number that is never changed or reused. The catalogue for operators is
 * docs/events.md.
 */
public enum EventType {
    NODE_STARTED(100, Severity.INFO, "a node opened its ports"),
    NODE_READY(101, Severity.INFO, "a node holds a configuration and serves"),
    NODE_DRAINING(102, Severity.INFO, "a node takes no new work"),
    NODE_STOPPED(103, Severity.INFO, "a node finished its work in progress and stops"),
    NODE_PAUSED(104, Severity.WARNING, "a node found that it had been paused"),
    SETTINGS_REFUSED(105, Severity.ERROR, "the settings file is wrong"),

    SETTINGS_RELOADED(106, Severity.INFO, "the settings file was read again"),

    REQUEST_ADMITTED(200, Severity.INFO, "a request was sent to the backend server"),
    REQUEST_REFUSED(201, Severity.INFO, "a request was refused"),
    REQUEST_QUEUED(202, Severity.INFO, "a request waits for a free slot"),
    REQUEST_COMPLETED(203, Severity.INFO, "an answer was delivered whole"),
    REQUEST_CANCELLED(204, Severity.INFO, "the caller went away"),
    ATTEMPT_STARTED(205, Severity.INFO, "an attempt was sent to another node"),
    ATTEMPT_FAILED(206, Severity.WARNING, "an attempt failed"),
    RETRY_STARTED(207, Severity.INFO, "an attempt is sent again"),
    ANSWER_DROPPED(208, Severity.WARNING, "a late, duplicate or foreign answer was dropped"),
    ANSWER_BROKEN(209, Severity.WARNING, "an answer broke off"),
    CONTEXT_REFUSED(210, Severity.WARNING, "a forged or replayed context was refused"),
    TRANSFER_RESUMED(211, Severity.INFO, "a long answer goes on from another backend server"),

    KEY_REFUSED(212, Severity.INFO, "a request has no access key or an unknown one"),
    QUOTA_EXCEEDED(213, Severity.INFO, "a request exceeds the quota of its partner"),
    CALL_CANCELLED(214, Severity.INFO, "a call was cancelled beside its backend server"),
    CLIENT_CUT_OFF(
            215, Severity.WARNING, "a client's request or connection was ended to free room"),

    LIMIT_CHANGED(300, Severity.INFO, "the concurrency limit changed"),
    LEVEL_CHANGED(301, Severity.INFO, "an admitted fraction changed"),
    SHARE_LENT(302, Severity.INFO, "a partner uses capacity of another partner's share"),
    SHARE_RETURNED(303, Severity.INFO, "lent capacity came back"),
    SERVER_EJECTED(304, Severity.WARNING, "a backend server was taken out of routing"),
    SERVER_RESTORED(305, Severity.INFO, "a backend server came back into routing"),

    TICKET_REPLAYED(400, Severity.INFO, "a repeated request got the stored answer"),
    TICKET_UNKNOWN(401, Severity.WARNING, "a ticket cannot be vouched for, nothing was run"),
    TICKETS_FULL(402, Severity.WARNING, "the ticket registry is full"),

    MEMBER_JOINED(500, Severity.INFO, "a member is alive"),
    MEMBER_SUSPECT(501, Severity.WARNING, "a member does not answer probes"),
    MEMBER_DEAD(502, Severity.WARNING, "a member is taken for dead"),
    MEMBER_LEFT(503, Severity.INFO, "a member left"),
    MEMBER_REFUTED(504, Severity.INFO, "this node refuted a suspicion"),
    NODE_ISOLATED(505, Severity.WARNING, "most probes of this node fail"),
    NODE_SUPERSEDED(506, Severity.ERROR, "another process runs under this node id"),
    LINK_UP(507, Severity.INFO, "a connection to another node works"),
    LINK_DOWN(508, Severity.WARNING, "a connection to another node was lost"),
    ENTRY_LAPSED(509, Severity.WARNING, "this node's entry was no longer in the store"),
    ENTRY_UNREADABLE(510, Severity.WARNING, "an entry in the store cannot be read and is not used"),
    SERVER_CHANGED(511, Severity.INFO, "the backend server beside a node changed its state"),
    HEARTBEAT_REFUSED(512, Severity.WARNING, "a heartbeat cannot be read and is not used"),
    LEAVE_NOT_RECORDED(
            513, Severity.WARNING, "the store does not hold that a backend server leaves"),
    SERVER_LIMIT_CHANGED(514, Severity.INFO, "a backend server states another rate limit"),
    LEAVE_RECORDED(515, Severity.INFO, "the store holds that a backend server leaves"),
    LEAVES_LOADED(516, Severity.INFO, "the records of servers that have left were read"),
    LEAVE_REMEMBERED(
            517, Severity.WARNING, "a node uses a server whose leaving it had acknowledged"),
    ENTRY_WRITTEN(518, Severity.INFO, "the store holds this node's entry"),

    CONFIG_ADOPTED(600, Severity.INFO, "a configuration version is in force"),
    CONFIG_REFUSED(601, Severity.ERROR, "a configuration was refused"),
    STORE_DOWN(602, Severity.WARNING, "the key-value service does not answer"),
    STORE_UP(603, Severity.INFO, "the key-value service answers again"),
    STORE_BEHIND(604, Severity.ERROR, "the key-value service holds a lower version than this node"),
    STORE_RESTORED(605, Severity.INFO, "a higher version was written back to the store"),
    CONFIG_CONFLICT(606, Severity.ERROR, "two documents have the same version number"),
    STORE_RESET(607, Severity.WARNING, "the key-value service was restored from an older copy");

    private final int mNumber;
    private final Severity mSeverity;
    private final String mDescription;

    EventType(int number, Severity severity, String description) {
        mNumber = number;
        mSeverity = severity;
        mDescription = description;
    }

    /**
     * Returns the number.
     *
     * @return the number, unique among all types and never changed
     */
    public int number() {
        return mNumber;
    }

    /**
     * Returns the severity.
     *
     * @return the severity
     */
    public Severity severity() {
        return mSeverity;
    }

    /**
     * Returns a short description of the event.
     *
     * @return the description, identical to the one in docs/events.md
     */
    public String description() {
        return mDescription;
    }
}
