package io.azurestage.relay;

import io.azurestage.core.backend.BackendServer;
import io.azurestage.core.backend.BackendTracker;
import io.azurestage.core.backend.Heartbeat;
import io.azurestage.mesh.Address;
import io.azurestage.relay.fleet.LeaveRecords;
import java.net.InetAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Processes what the backend server beside a node reports of itself: heartbeats, deregistrations,
 * and answers in which it states that it leaves. A report that it leaves is acknowledged once it is
 * recorded, so that it also applies after a restart of the node. Heartbeats are kept until the
 * records of the previous process are read. Confined to the event loop.
 */
final class ServerReports {
    /** A server sends about two in the time for which a starting node waits for the records. */
    private static final int MAX_EARLY_HEARTBEATS = 32;

    private final String mService;
    private final InetAddress mVm;
    private final BackendTracker mTracker;
    private final LeaveRecords mLeaveRecords;
    private final Runnable mOnServerChanged;
    private final Deque<Heartbeat> mEarlyHeartbeats = new ArrayDeque<>();
    private boolean mLeavesLoaded;

    /**
     * Creates an instance that has not read the records of servers that have left.
     *
     * @param service service of the backend server on this VM
     * @param vm IP address of this VM
     * @param tracker tracks the state of the server
     * @param leaveRecords records of servers that leave
     * @param onServerChanged called when the server or its state has changed
     */
    ServerReports(
            String service,
            InetAddress vm,
            BackendTracker tracker,
            LeaveRecords leaveRecords,
            Runnable onServerChanged) {
        mService = service;
        mVm = vm;
        mTracker = tracker;
        mLeaveRecords = leaveRecords;
        mOnServerChanged = onServerChanged;
    }

    /** Reads the records; the server is not used before they are read or 2.5 s have passed. */
    void start() {
        mLeaveRecords.load(this::onLeaveRead, this::onLeavesLoaded);
    }

    /**
     * Handles the statement of another node that an earlier process of this one has acknowledged
     * that a server leaves. The store may have lost the record.
     */
    void onLeaveRemembered(String serverId, long startedAtMillis) {
        if (mTracker.isLeaving(serverId, startedAtMillis)) {
            return;
        }
        onLeaveRead(serverId, startedAtMillis);
        mLeaveRecords.write(serverId, startedAtMillis, () -> {});
    }

    private void onLeaveRead(String serverId, long startedAtMillis) {
        if (mTracker.onLeaveRead(serverId, startedAtMillis)) {
            mOnServerChanged.run();
        }
    }

    private void onLeavesLoaded() {
        mLeavesLoaded = true;
        mEarlyHeartbeats.forEach(this::track);
        mEarlyHeartbeats.clear();
    }

    /** Marks a server without heartbeats as gone. Call it every 100 ms. */
    void tick() {
        if (mTracker.checkHeartbeatTimeout()) {
            mOnServerChanged.run();
        }
    }

    /** See {@link Relay#onHeartbeat}. */
    void onHeartbeat(Heartbeat h, Runnable acknowledge) {
        checkOrigin(h);
        // The record comes first, since the entry of the changed server names it.
        if (mTracker.isLeaving(h)) {
            mLeaveRecords.write(h.serverId(), h.startedAtMillis(), acknowledge);
        } else {
            acknowledge.run();
        }
        if (mLeavesLoaded) {
            track(h);
        } else {
            keep(h);
        }
    }

    /** Other writers may send heartbeats too, and only this VM's own server can be reached here. */
    private void checkOrigin(Heartbeat h) {
        if (!h.service().equals(mService)) {
            throw new IllegalArgumentException(
                    "heartbeat.service is "
                            + h.service()
                            + "; the backend server of this VM belongs to "
                            + mService);
        }
        if (Address.parseRemote(h.address()).filter(a -> a.getAddress().equals(mVm)).isEmpty()) {
            throw new IllegalArgumentException(
                    "heartbeat.address is " + h.address() + "; this VM is " + mVm.getHostAddress());
        }
    }

    private void track(Heartbeat h) {
        if (mTracker.onHeartbeat(h)) {
            mOnServerChanged.run();
        }
    }

    private void keep(Heartbeat h) {
        if (mEarlyHeartbeats.size() == MAX_EARLY_HEARTBEATS) {
            mEarlyHeartbeats.removeFirst();
        }
        mEarlyHeartbeats.addLast(h);
    }

    /** Handles an answer in which the server states that it leaves. */
    void onLeavingStated() {
        if (mTracker.onLeavingStated()) {
            BackendServer s = mTracker.server().orElseThrow();
            mLeaveRecords.write(s.serverId(), s.startedAtMillis(), () -> {});
            mOnServerChanged.run();
        }
    }

    /** See {@link Relay#onDeregistered}. */
    void onDeregistered(String serverId, long startedAtMillis, Runnable acknowledge) {
        long leaving = mTracker.leavingIncarnation(serverId, startedAtMillis);
        mLeaveRecords.write(serverId, leaving, acknowledge);
        if (mTracker.onDeregistered(serverId, leaving)) {
            mOnServerChanged.run();
        }
    }
}
