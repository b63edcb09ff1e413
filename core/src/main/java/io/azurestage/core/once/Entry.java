package io.azurestage.core.once;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** What the registry remembers about one ticket. */
final class Entry {
    enum State {
        RUNNING,
        RAN,
        /** Claimed, then refused before it ran. */
        SEALED,
        /** Refused without a claim; counted apart, so that refusals don't take the room of runs. */
        REFUSED
    }

    final String mNonce;
    final Instant mExpiresAt;
    final long mFingerprint;
    final long mDeadline;
    State mState;
    StoredAnswer mAnswer;
    boolean mOverdue;
    private List<Consumer<Optional<StoredAnswer>>> mSubscribers = List.of();

    Entry(Ticket t, long fingerprint, long deadline, State state) {
        mNonce = t.nonce();
        mExpiresAt = t.expiresAt();
        mFingerprint = fingerprint;
        mDeadline = deadline;
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

    /** Ends the request and returns the subscribers to notify. */
    List<Consumer<Optional<StoredAnswer>>> end(State state, StoredAnswer kept) {
        mState = state;
        mAnswer = kept;
        List<Consumer<Optional<StoredAnswer>>> waiting = mSubscribers;
        mSubscribers = List.of();
        return waiting;
    }

    /** Calls every subscriber, even if one of them throws; rethrows the first exception. */
    static void notifyAll(
            List<Consumer<Optional<StoredAnswer>>> waiting, Optional<StoredAnswer> answer) {
        RuntimeException first = null;
        for (Consumer<Optional<StoredAnswer>> w : waiting) {
            try {
                w.accept(answer);
            } catch (RuntimeException e) {
                first = first == null ? e : first;
            }
        }
        if (first != null) {
            throw first;
        }
    }
}
