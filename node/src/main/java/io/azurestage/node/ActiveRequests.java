package io.azurestage.node;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Requests that the local backend server is executing, and the attempt ids received recently, which
 * detect duplicates.
 */
final class ActiveRequests {
    private final ConcurrentMap<Long, ActiveRequest> mByAttempt = new ConcurrentHashMap<>();
    private final ConcurrentMap<Long, Long> mDeadlineByAttempt = new ConcurrentHashMap<>();

    /**
     * Registers an attempt.
     *
     * @param deadlineNanos deadline of the attempt on the monotonic clock
     * @return false if an attempt with this id is registered already, so that this is a duplicate
     */
    boolean registerAttempt(long attemptId, long deadlineNanos) {
        return mDeadlineByAttempt.putIfAbsent(attemptId, deadlineNanos) == null;
    }

    /** Removes attempt ids past their deadline; a duplicate is refused as expired from then on. */
    void expire(long nowNanos) {
        mDeadlineByAttempt.values().removeIf(deadline -> deadline - nowNanos < 0);
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
