package io.azurestage.node;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Requests that this node's backend server works on, and attempts that have been seen. */
final class ActiveRequests {
    private final ConcurrentMap<Long, ActiveRequest> mByAttempt = new ConcurrentHashMap<>();
    private final ConcurrentMap<Long, Long> mSeen = new ConcurrentHashMap<>();

    /**
     * Registers an attempt.
     *
     * @return false if an attempt of this id was seen before its deadline: it is a duplicate
     */
    boolean firstSight(long attemptId, long deadlineNanos) {
        return mSeen.putIfAbsent(attemptId, deadlineNanos) == null;
    }

    /** Forgets attempts past their deadline, which are refused as expired anyway. */
    void expire(long nowNanos) {
        mSeen.values().removeIf(deadline -> deadline - nowNanos < 0);
    }

    void add(ActiveRequest p) {
        mByAttempt.put(p.context().attemptId(), p);
    }

    void remove(ActiveRequest p) {
        mByAttempt.remove(p.context().attemptId());
    }

    Optional<ActiveRequest> find(long attemptId) {
        return Optional.ofNullable(mByAttempt.get(attemptId));
    }

    int size() {
        return mByAttempt.size();
    }
}
