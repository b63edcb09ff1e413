package io.azurestage.core.backend;

import io.azurestage.core.memory.BoundedMap;
import io.azurestage.core.time.TimeSource;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Tracks the state of the backend server beside this node from its reports. Reports may arrive late
 * or out of order: an older incarnation does not replace a newer one that sends heartbeats, and an
 * incarnation that has announced that it leaves never becomes ready again. Not thread-safe.
 */
public final class BackendTracker {
    /**
     * Number of servers that have left to remember, so that late heartbeats do not revive them. A
     * starting node reads the records of its whole fleet, as it does not know its server yet.
     */
    private static final int MAX_LEFT_SERVERS = 4_096;

    private final TimeSource mTime;
    private final Duration mDrainTime;
    private final Duration mHeartbeatTimeout;

    /** Newest incarnation of each server that has deregistered. */
    private final Map<String, Long> mLeftIncarnations = new BoundedMap<>(MAX_LEFT_SERVERS);

    /** Newest incarnation of each server that has announced that it leaves. */
    private final Map<String, Long> mDrainedIncarnations = new BoundedMap<>(MAX_LEFT_SERVERS);

    private BackendServer mServer;
    private long mSequence;
    private long mLastHeartbeatNanos;
    private long mDrainStartNanos;
    private boolean mDrainAnnounced;

    /** Whether the server is gone because its heartbeats have stopped. */
    private boolean mSilent;

    /**
     * Creates a tracker that knows no server.
     *
     * @param time source of time
     * @param drain time for which a leaving server still accepts requests after its report was
     *     acknowledged
     * @param silence time without heartbeats after which a server is considered gone
     */
    public BackendTracker(TimeSource time, Duration drain, Duration silence) {
        mTime = Objects.requireNonNull(time, "time");
        mDrainTime = drain;
        mHeartbeatTimeout = silence;
    }

    /**
     * Processes a heartbeat.
     *
     * @param h the heartbeat
     * @return whether the server or its state has changed
     */
    public boolean onHeartbeat(Heartbeat h) {
        if (isIn(mLeftIncarnations, h.serverId(), h.startedAtMillis())) {
            return false;
        }
        if (h.draining()) {
            mDrainedIncarnations.merge(h.serverId(), h.startedAtMillis(), Math::max);
        }
        if (mServer != null && mServer.isSameIncarnation(h.serverId(), h.startedAtMillis())) {
            return updateCurrent(h);
        }
        if (mServer != null && h.startedAtMillis() < mServer.startedAtMillis() && !isReplaced(h)) {
            return false;
        }
        boolean draining = isIn(mDrainedIncarnations, h.serverId(), h.startedAtMillis());
        mServer = server(h, draining ? BackendState.DRAINING : BackendState.READY);
        mSequence = h.sequence();
        mSilent = false;
        mLastHeartbeatNanos = mTime.nanos();
        mDrainAnnounced = draining;
        // Another process may have acknowledged the report of a server that is first seen while
        // draining, so its drain time is assumed to have elapsed.
        mDrainStartNanos = mLastHeartbeatNanos - mDrainTime.toNanos();
        return true;
    }

    /**
     * Reports whether an older server is in use although a newer one had been reported: the newer
     * one has fallen silent without leaving, as the one that a single heartbeat of another writer
     * named does.
     */
    private boolean isReplaced(Heartbeat h) {
        return mSilent && !isCurrent(h.serverId());
    }

    /**
     * Reports whether the sender of a heartbeat is leaving or has left.
     *
     * @param h a heartbeat that has been processed
     * @return whether it or an earlier report of its incarnation states that the server leaves
     */
    public boolean isLeaving(Heartbeat h) {
        return h.draining() || isLeaving(h.serverId(), h.startedAtMillis());
    }

    /**
     * Reports whether an incarnation of a server is leaving or has left.
     *
     * @param serverId id of the server
     * @param startedAtMillis start time of the incarnation, epoch milliseconds
     * @return whether a report or a record of it or of a later one states that the server leaves
     */
    public boolean isLeaving(String serverId, long startedAtMillis) {
        return isIn(mLeftIncarnations, serverId, startedAtMillis)
                || isIn(mDrainedIncarnations, serverId, startedAtMillis);
    }

    private static boolean isIn(
            Map<String, Long> incarnations, String serverId, long startedAtMillis) {
        Long newest = incarnations.get(serverId);
        return newest != null && startedAtMillis <= newest;
    }

    private boolean updateCurrent(Heartbeat h) {
        BackendServer before = mServer;
        if (h.sequence() > mSequence) {
            mSequence = h.sequence();
            mSilent = false;
            mLastHeartbeatNanos = mTime.nanos();
            mServer = server(h, stateAfterHeartbeat());
        }
        // A drain is never reverted, so a report of it also counts if a later heartbeat came first.
        if (h.draining() && !mDrainAnnounced) {
            startDrain();
        }
        return !mServer.equals(before);
    }

    /** A server that resumes sending heartbeats has not left. */
    private BackendState stateAfterHeartbeat() {
        if (mServer.state() != BackendState.GONE) {
            return mServer.state();
        }
        return mDrainAnnounced ? BackendState.DRAINING : BackendState.READY;
    }

    /**
     * Processes the statement of the current server, in an answer, that it leaves.
     *
     * @return whether this is the first report of its incarnation that it leaves
     */
    public boolean onLeavingStated() {
        if (mServer == null || mDrainAnnounced) {
            return false;
        }
        startDrain();
        return true;
    }

    /** A server that was considered gone stays so; its drain time is over. */
    private void startDrain() {
        mDrainAnnounced = true;
        mDrainedIncarnations.merge(mServer.serverId(), mServer.startedAtMillis(), Math::max);
        if (mServer.state() == BackendState.READY) {
            mServer = mServer.withState(BackendState.DRAINING);
            mDrainStartNanos = mTime.nanos();
        }
    }

    /**
     * Determines which incarnation a deregistration concerns.
     *
     * @param serverId id of the server
     * @param startedAtMillis start time that the report states, epoch milliseconds, or 0 if it
     *     states none
     * @return start time of the incarnation that leaves. Without a statement, it is that of the
     *     current server of this id, or else the present time: a server may deregister at a process
     *     that has not received any heartbeat of it yet, and later incarnations start after this
     *     report
     */
    public long leavingIncarnation(String serverId, long startedAtMillis) {
        if (startedAtMillis != 0) {
            return startedAtMillis;
        }
        return isCurrent(serverId) ? mServer.startedAtMillis() : mTime.now().toEpochMilli();
    }

    private boolean isCurrent(String serverId) {
        return mServer != null && mServer.serverId().equals(serverId);
    }

    /**
     * Processes the deregistration of a server.
     *
     * @param serverId id of the server
     * @param startedAtMillis start time of its incarnation, epoch milliseconds, or 0 if the report
     *     does not give it
     * @return whether the state of the current server has changed
     */
    public boolean onDeregistered(String serverId, long startedAtMillis) {
        boolean current = isCurrent(serverId);
        long incarnation = leavingIncarnation(serverId, startedAtMillis);
        mLeftIncarnations.merge(serverId, incarnation, Math::max);
        if (!current || incarnation < mServer.startedAtMillis()) {
            return false;
        }
        if (mServer.state() == BackendState.READY) {
            mDrainStartNanos = mTime.nanos();
        }
        boolean changed = mServer.state() != BackendState.GONE;
        mServer = mServer.withState(BackendState.GONE);
        return changed;
    }

    /**
     * Processes a record that a server has left or is leaving, which another process of this node
     * has written.
     *
     * @param serverId id of the server
     * @param startedAtMillis start time of its incarnation, epoch milliseconds
     * @return whether the state of the current server has changed
     */
    public boolean onLeaveRead(String serverId, long startedAtMillis) {
        boolean ready = mServer != null && mServer.state() == BackendState.READY;
        boolean changed = onDeregistered(serverId, startedAtMillis);
        if (changed && ready) {
            // The other process acknowledged the leave before it ended.
            mDrainStartNanos = mTime.nanos() - mDrainTime.toNanos();
        }
        return changed;
    }

    /**
     * Marks a server as gone if its heartbeats have stopped. Call this several times per second.
     *
     * @return whether the state has changed
     */
    public boolean checkHeartbeatTimeout() {
        if (mServer == null || mServer.state() == BackendState.GONE) {
            return false;
        }
        long now = mTime.nanos();
        if (now - mLastHeartbeatNanos < mHeartbeatTimeout.toNanos()) {
            return false;
        }
        mServer = mServer.withState(BackendState.GONE);
        mSilent = !mDrainAnnounced;
        mDrainStartNanos = now - mDrainTime.toNanos();
        return true;
    }

    /**
     * Returns the current server.
     *
     * @return the server in any state, or empty if no heartbeat has been received yet
     */
    public Optional<BackendServer> server() {
        return Optional.ofNullable(mServer);
    }

    /**
     * Reports whether a new request may be sent to the server.
     *
     * @return true while it is ready, and for the drain time after it announced that it leaves
     */
    public boolean acceptsRequests() {
        if (mServer == null) {
            return false;
        }
        if (mServer.state() == BackendState.READY) {
            return true;
        }
        return mTime.nanos() - mDrainStartNanos < mDrainTime.toNanos();
    }

    private static BackendServer server(Heartbeat h, BackendState state) {
        return new BackendServer(
                h.serverId(), h.startedAtMillis(), h.service(), h.address(), h.slots(), state);
    }
}
