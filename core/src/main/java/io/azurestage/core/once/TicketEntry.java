package io.azurestage.core.once;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** The registry's record of one ticket. */
final class TicketEntry {
    enum State {
        RUNNING,
        RAN,
        /** Claimed, then refused before it ran. */
        SEALED,
        /**
         * Refused without a claim. Counted separately, so that refusals do not use up the capacity
         * for claims.
         */
        REFUSED
    }

    final String mNonce;
    final Instant mExpiresAt;
    final long mFingerprint;
    final long mExpiresAtNanos;
    State mState;
    StoredAnswer mAnswer;
    boolean mExpired;
    private List<Consumer<Optional<StoredAnswer>>> mSubscribers = List.of();

    TicketEntry(Ticket t, long fingerprint, long expiresAtNanos, State state) {
        mNonce = t.nonce();
        mExpiresAt = t.expiresAt();
        mFingerprint = fingerprint;
        mExpiresAtNanos = expiresAtNanos;
        mState = state;
    }

    boolean isSealed() {
        return mState == State.SEALED || mState == State.REFUSED;
    }

    boolean subscribe(Consumer<Optional<StoredAnswer>> subscriber, int limit) {
        if (mSubscribers.size() >= limit) {
            return false;
        }
        if (mSubscribers.isEmpty()) {
            mSubscribers = new ArrayList<>(1);
        }
        mSubscribers.add(subscriber);
        return true;
    }

    /** Records the end of the request and returns the subscribers to notify. */
    List<Consumer<Optional<StoredAnswer>>> end(State state, StoredAnswer storedAnswer) {
        mState = state;
        mAnswer = storedAnswer;
        List<Consumer<Optional<StoredAnswer>>> subscribers = mSubscribers;
        mSubscribers = List.of();
        return subscribers;
    }

    /** Notifies every subscriber, even if one of them throws, then rethrows the first exception. */
    static void notifyAll(
            List<Consumer<Optional<StoredAnswer>>> subscribers, Optional<StoredAnswer> answer) {
        RuntimeException first = null;
        for (Consumer<Optional<StoredAnswer>> subscriber : subscribers) {
            try {
                subscriber.accept(answer);
            } catch (RuntimeException e) {
                first = first == null ? e : first;
            }
        }
        if (first != null) {
            throw first;
        }
    }
}
