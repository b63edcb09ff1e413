package io.azurestage.relay;

import io.azurestage.core.backend.BackendServer;
import io.azurestage.core.backend.BackendTracker;
import io.azurestage.core.backend.Heartbeat;
import io.azurestage.relay.fleet.LeaveRecords;

/**
 * Processes what the backend server beside a node reports of itself: heartbeats, deregistrations,
 * and answers in which it states that it leaves. A report that it leaves is acknowledged once it is
 * recorded, so that the node also heeds it after a restart. Confined to the event loop.
 */
final class ServerReports {
    private final BackendTracker mTracker;
    private final LeaveRecords mLeaveRecords;
    private final Runnable mOnServerChanged;
    private Heartbeat mEarlyHeartbeat;
    private boolean mLeavesLoaded;

    /**
     * Creates an instance that has not read the records of servers that have left.
     *
     * @param tracker tracks the state of the server
     * @param leaveRecords records of servers that leave
     * @param onServerChanged called when the server or its state has changed
     */
    ServerReports(
            BackendTracker tracker,
            LeaveRecords leaveRecords,
            Runnable onServerChanged) {
        mTracker = tracker;
        mLeaveRecords = leaveRecords;
        mOnServerChanged = onServerChanged;
    }

    /** Reads the records; heartbeats are processed afterwards. */
    void start() {
        mLeaveRecords.load(mTracker::onDeregistered, this::onLeavesLoaded);
    }

    private void onLeavesLoaded() {
        mLeavesLoaded = true;
        if (mEarlyHeartbeat != null) {
            onHeartbeat(mEarlyHeartbeat, () -> {});
        }
    }

    /** Takes a server without heartbeats for gone. Call it every 100 ms. */
    void tick() {
        if (mTracker.checkHeartbeatTimeout()) {
            mOnServerChanged.run();
        }
    }

    /** See {@link Relay#onHeartbeat}. */
    void onHeartbeat(Heartbeat h, Runnable acknowledge) {
        if (!mLeavesLoaded) {
            mEarlyHeartbeat = h;
            acknowledge.run();
            return;
        }
        if (mTracker.onHeartbeat(h)) {
            mOnServerChanged.run();
        }
        if (mTracker.isLeaving(h)) {
            mLeaveRecords.write(h.serverId(), h.startedAtMillis(), acknowledge);
        } else {
            acknowledge.run();
        }
    }

    /** Handles an answer in which the server states that it leaves. */
    void onLeavingStated() {
        if (mTracker.onLeavingStated()) {
            mOnServerChanged.run();
            BackendServer s = mTracker.server().orElseThrow();
            mLeaveRecords.write(s.serverId(), s.startedAtMillis(), () -> {});
        }
    }

    /** See {@link Relay#onDeregistered}. */
    void onDeregistered(String serverId, long startedAtMillis, Runnable acknowledge) {
        long leaving = mTracker.leavingIncarnation(serverId, startedAtMillis);
        if (mTracker.onDeregistered(serverId, leaving)) {
            mOnServerChanged.run();
        }
        mLeaveRecords.write(serverId, leaving, acknowledge);
    }
}
