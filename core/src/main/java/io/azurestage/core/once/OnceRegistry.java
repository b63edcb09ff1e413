package io.azurestage.core.once;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.time.TimeSource;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Remembers which tickets were used at this node incarnation. Thread-safe; subscribers are called
 * without a lock held.
 *
 * <p>A nonce that was ever recorded is either still in the table, or its ticket expires no later
 * than the forgotten horizon, the latest expiry among all entries that were dropped. An unrecorded
 * ticket is run only if it expires after that horizon. At-most-once execution therefore does not
 * depend on any clock: a clock that steps can only make tickets {@link Claim.Unknown}.
 */
public final class OnceRegistry {
    /** Twice the ticket window, so that VM clocks may differ by one window. */
    public static final Duration DEFAULT_MAX_LIFE = Duration.ofMinutes(20);

    private static final int MAX_SUBSCRIBERS = 64;

    private final NodeIdentity mSelf;
    private final int mMaxEntries;
    private final TimeSource mTime;
    private final Duration mMaxLife;
    private final AnswerSpace mSpace;
    private final Map<String, Entry> mEntries = new HashMap<>();
    private final PriorityQueue<Entry> mByDeadline =
            new PriorityQueue<>(Comparator.comparingLong(e -> e.mDeadline));
    private final long mStart;
    private Instant mForgotten = Instant.MIN;
    private int mRefused;

    /**
     * Creates an empty registry that accepts tickets which live at most {@link #DEFAULT_MAX_LIFE}.
     *
     * @param self the incarnation that tickets must name
     * @param maxEntries tickets kept at once; as many refused tickets are kept in addition
     * @param maxBytes bytes of stored answers kept at once
     * @param time source of time
     */
    public OnceRegistry(NodeIdentity self, int maxEntries, long maxBytes, TimeSource time) {
        this(self, maxEntries, maxBytes, time, DEFAULT_MAX_LIFE);
    }

    /**
     * Creates an empty registry.
     *
     * @param self the incarnation that tickets must name
     * @param maxEntries tickets kept at once; as many refused tickets are kept in addition
     * @param maxBytes bytes of stored answers kept at once
     * @param time source of time
     * @param maxLife longest remaining life of a ticket at its first claim; longer-lived tickets
     *     are answered with {@link Claim.Unknown}, so that an issuer whose clock is ahead cannot
     *     fill the table for long
     */
    public OnceRegistry(
            NodeIdentity self, int maxEntries, long maxBytes, TimeSource time, Duration maxLife) {
        if (maxEntries < 1) {
            throw new IllegalArgumentException("maxEntries must be positive, not " + maxEntries);
        }
        mSelf = Objects.requireNonNull(self);
        mMaxEntries = maxEntries;
        mSpace = new AnswerSpace(maxBytes, maxEntries);
        mTime = time;
        mMaxLife = maxLife;
        mStart = time.nanos();
    }

    /**
     * Claims a ticket for a request. After {@link Claim.First} the caller must report the end with
     * {@link #complete} or {@link #seal}; until then the entry stays, even past its expiry.
     *
     * @param t the ticket, already authenticated
     * @param fingerprint identifies the request's content
     * @param subscriber hears the answer if the request is in progress; empty if it ended without
     *     one, in which case another claim tells whether it was sealed
     * @return what to do
     */
    public synchronized Claim claim(
            Ticket t, long fingerprint, Consumer<Optional<StoredAnswer>> subscriber) {
        if (!t.owner().equals(mSelf)) {
            return new Claim.Unknown("the ticket names another incarnation");
        }
        forgetExpired();
        Entry e = mEntries.get(t.nonce());
        if (e != null) {
            return repeat(e, fingerprint, subscriber);
        }
        Optional<String> doubt = doubt(t);
        if (doubt.isPresent()) {
            return new Claim.Unknown(doubt.get());
        }
        if (mEntries.size() - mRefused >= mMaxEntries || !mSpace.reserve()) {
            return refuse(t);
        }
        record(t, fingerprint, Entry.State.RUNNING);
        return new Claim.First();
    }

    /**
     * Records that a request was refused before it ran. A ticket that was not claimed before is
     * recorded too.
     *
     * @param t the ticket
     * @return whether the request may be reported as not run: true if it has not run and never runs
     *     under this ticket
     */
    public boolean seal(Ticket t) {
        List<Consumer<Optional<StoredAnswer>>> waiting;
        synchronized (this) {
            if (!t.owner().equals(mSelf)) {
                return false;
            }
            forgetExpired();
            Entry e = mEntries.get(t.nonce());
            if (e == null) {
                return doubt(t).isEmpty() && refuse(t) instanceof Claim.Full;
            }
            if (e.mState != Entry.State.RUNNING) {
                return e.isSealed();
            }
            mSpace.release();
            waiting = e.end(Entry.State.SEALED, null);
            dropIfOverdue(e);
        }
        Entry.notifyAll(waiting, Optional.empty());
        return true;
    }

    /**
     * Records the end of a request that ran. Ignored unless the ticket is claimed and in progress.
     * Subscribers hear the answer even if it is too large to keep for later repeats.
     *
     * @param t the ticket
     * @param answer the whole answer, or empty if the request ran but its answer is not known
     */
    public void complete(Ticket t, Optional<StoredAnswer> answer) {
        List<Consumer<Optional<StoredAnswer>>> waiting;
        synchronized (this) {
            Entry e = t.owner().equals(mSelf) ? mEntries.get(t.nonce()) : null;
            if (e == null || e.mState != Entry.State.RUNNING) {
                return;
            }
            mSpace.release();
            waiting = e.end(Entry.State.RAN, answer.filter(mSpace::store).orElse(null));
            forgetExpired();
            dropIfOverdue(e);
        }
        Entry.notifyAll(waiting, answer);
    }

    /**
     * Returns how many tickets are remembered, refused ones included.
     *
     * @return at most twice the bound on entries
     */
    public synchronized int size() {
        return mEntries.size();
    }

    /**
     * Returns how much memory the stored answers take.
     *
     * @return bytes, at most the bound on bytes
     */
    public synchronized long storedBytes() {
        return mSpace.stored();
    }

    private Claim repeat(Entry e, long fingerprint, Consumer<Optional<StoredAnswer>> subscriber) {
        if (e.isSealed()) {
            return new Claim.Sealed();
        }
        if (e.mFingerprint != fingerprint) {
            return new Claim.Mismatch();
        }
        if (e.mState == Entry.State.RAN) {
            return e.mAnswer != null
                    ? new Claim.Done(e.mAnswer)
                    : new Claim.Unknown("the request ran, but its answer was not kept");
        }
        return e.subscribe(subscriber, MAX_SUBSCRIBERS)
                ? new Claim.InProgress()
                : new Claim.Unknown("too many repeats wait for the answer; repeat later");
    }

    /** Names the reason why a ticket without an entry must not be run, if there is one. */
    private Optional<String> doubt(Ticket t) {
        Instant now = mTime.now();
        if (!t.expiresAt().isAfter(now) || !t.expiresAt().isAfter(mForgotten)) {
            return Optional.of("the ticket has expired; check the result, then get a new ticket");
        }
        if (t.expiresAt().isAfter(now.plus(mMaxLife))) {
            return Optional.of("the ticket expires too far ahead; check the clocks of the nodes");
        }
        return Optional.empty();
    }

    /**
     * Refuses a ticket for good. Without room to record the refusal, not-run cannot be promised: a
     * late duplicate could be claimed once there is room again.
     */
    private Claim refuse(Ticket t) {
        if (mRefused >= mMaxEntries) {
            return new Claim.Unknown("the registry is full and cannot record the refusal");
        }
        mRefused++;
        record(t, 0, Entry.State.REFUSED);
        return new Claim.Full();
    }

    /** Derives the local expiry once; the wall clock plays no part in it afterwards. */
    private void record(Ticket t, long fingerprint, Entry.State state) {
        long life = Duration.between(mTime.now(), t.expiresAt()).toNanos();
        Entry e = new Entry(t, fingerprint, elapsed() + life, state);
        mEntries.put(t.nonce(), e);
        mByDeadline.add(e);
    }

    /** Running requests are kept, so that a repeat never runs beside them. */
    private void forgetExpired() {
        long now = elapsed();
        for (Entry e = mByDeadline.peek();
                e != null && e.mDeadline <= now;
                e = mByDeadline.peek()) {
            mByDeadline.remove();
            e.mOverdue = true;
            dropIfOverdue(e);
        }
    }

    private void dropIfOverdue(Entry e) {
        if (!e.mOverdue || e.mState == Entry.State.RUNNING) {
            return;
        }
        if (!mEntries.remove(e.mNonce, e)) {
            return;
        }
        if (e.mExpiresAt.isAfter(mForgotten)) {
            mForgotten = e.mExpiresAt;
        }
        if (e.mState == Entry.State.REFUSED) {
            mRefused--;
        }
        if (e.mAnswer != null) {
            mSpace.free(e.mAnswer);
        }
    }

    private long elapsed() {
        return mTime.nanos() - mStart;
    }
}
