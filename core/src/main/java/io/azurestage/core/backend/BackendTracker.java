package io.azurestage.core.backend;

import io.azurestage.core.time.TimeSource;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * State of the one backend server beside this node, from what it reports. Reports may arrive late
 * or out of order: an older incarnation never replaces a newer one, and a server that has said that
 * it leaves is never taken back. Not thread-safe.
 */
public final class BackendTracker {
    /** Servers that have left and are remembered, so that late heartbeats do not revive them. */
    private static final int MAX_LEFT = 64;

    private final TimeSource mTime;
    private final Duration mDrain;
    private final Duration mSilence;
    private final Map<String, Long> mLeft =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_LEFT;
                }
            };
    private BackendServer mServer;
    private long mSequence;
    private long mHeardNanos;
    private long mLeavingNanos;
    private boolean mSaysItLeaves;

    /**
     * Creates a tracker that knows no server.
     *
     * @param time source of time
     * @param drain how long a leaving server still takes work after its report was acknowledged
     * @param silence how long a server may send nothing until it counts as gone
     */
    public BackendTracker(TimeSource time, Duration drain, Duration silence) {
        mTime = Objects.requireNonNull(time, "time");
        mDrain = drain;
        mSilence = silence;
    }

    /**
     * Takes note of a heartbeat.
     *
     * @param h the heartbeat
     * @return whether the server or its state has changed
     */
    public boolean heard(Heartbeat h) {
        Long leftAt = mLeft.get(h.serverId());
        if (leftAt != null && h.startedAtMillis() <= leftAt) {
            return false;
        }
        if (mServer != null && mServer.isSameIncarnation(h.serverId(), h.startedAtMillis())) {
            return heardAgain(h);
        }
        if (mServer != null && h.startedAtMillis() < mServer.startedAtMillis()) {
            return false;
        }
        mServer = server(h, h.draining() ? BackendState.DRAINING : BackendState.READY);
        mSequence = h.sequence();
        mHeardNanos = mTime.nanos();
        mSaysItLeaves = h.draining();
        // Another process may have acknowledged the leaving of a server first seen as leaving.
        mLeavingNanos = mHeardNanos - mDrain.toNanos();
        return true;
    }

    private boolean heardAgain(Heartbeat h) {
        if (h.sequence() <= mSequence) {
            return false;
        }
        mSequence = h.sequence();
        mHeardNanos = mTime.nanos();
        BackendState state = mServer.state();
        // A server that was silent and speaks again has not left, but a drain is not opened again.
        if (state == BackendState.GONE) {
            state = mSaysItLeaves ? BackendState.DRAINING : BackendState.READY;
        }
        if (state == BackendState.READY && h.draining()) {
            state = BackendState.DRAINING;
            mLeavingNanos = mHeardNanos;
            mSaysItLeaves = true;
        }
        BackendServer next = server(h, state);
        boolean changed = !next.equals(mServer);
        mServer = next;
        return changed;
    }

    /**
     * Takes note that a server leaves.
     *
     * @param serverId id of the server
     * @param startedAtMillis its incarnation, or 0 if the report does not name it
     * @return whether the state of the current server has changed
     */
    public boolean left(String serverId, long startedAtMillis) {
        boolean current = mServer != null && mServer.serverId().equals(serverId);
        long started = startedAtMillis;
        if (started == 0) {
            // A server may report to a process that has not heard of it yet, without saying when it
            // started. A later incarnation starts after this report.
            started = current ? mServer.startedAtMillis() : mTime.now().toEpochMilli();
        }
        mLeft.merge(serverId, started, Math::max);
        if (!current || started < mServer.startedAtMillis()) {
            return false;
        }
        if (mServer.state() == BackendState.READY) {
            mLeavingNanos = mTime.nanos();
        }
        boolean changed = mServer.state() != BackendState.GONE;
        mServer = mServer.in(BackendState.GONE);
        return changed;
    }

    /**
     * Declares a silent server gone. Call it a few times a second.
     *
     * @return whether the state has changed
     */
    public boolean tick() {
        if (mServer == null || mServer.state() == BackendState.GONE) {
            return false;
        }
        long now = mTime.nanos();
        if (now - mHeardNanos < mSilence.toNanos()) {
            return false;
        }
        mServer = mServer.in(BackendState.GONE);
        mLeavingNanos = now - mDrain.toNanos();
        return true;
    }

    /**
     * Returns the server last heard of.
     *
     * @return the server in any state, or empty if none has reported yet
     */
    public Optional<BackendServer> server() {
        return Optional.ofNullable(mServer);
    }

    /**
     * Reports whether a new request may be sent to the server.
     *
     * @return true while it is ready, and for the drain time after it said that it leaves
     */
    public boolean mayStart() {
        if (mServer == null) {
            return false;
        }
        if (mServer.state() == BackendState.READY) {
            return true;
        }
        return mTime.nanos() - mLeavingNanos < mDrain.toNanos();
    }

    private static BackendServer server(Heartbeat h, BackendState state) {
        return new BackendServer(
                h.serverId(), h.startedAtMillis(), h.service(), h.address(), h.slots(), state);
    }
}
