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
 * Records which tickets were used at this node incarnation. Thread-safe; subscribers are called
 * without holding the lock.
 *
 * <p>A nonce that was ever recorded is either still in the table, or its ticket expires no later
 * than the eviction horizon, the latest expiry among all evicted entries. A ticket without an entry
 * is run only if it expires after that horizon. At-most-once execution therefore does not depend on
 * any clock: a clock step can only make tickets {@link Claim.Unknown}.
 */
public final class TicketRegistry {
    /** Twice the default ticket window, which allows VM clocks to differ by one window. */
    public static final Duration DEFAULT_MAX_LIFE = Duration.ofMinutes(20);

    private static final int MAX_SUBSCRIBERS = 64;

    private final NodeIdentity mSelf;
    private final int mMaxEntries;
    private final TimeSource mTime;
    private final Duration mMaxLife;
    private final AnswerMemory mAnswerMemory;
    private final Map<String, TicketEntry> mEntries = new HashMap<>();
    private final PriorityQueue<TicketEntry> mByExpiry =
            new PriorityQueue<>(Comparator.comparingLong(e -> e.mExpiresAtNanos));
    private final long mStartNanos;
    private Instant mEvictionHorizon = Instant.MIN;
    private int mRefusedCount;

    /**
     * Creates an empty registry that accepts tickets that expire within {@link #DEFAULT_MAX_LIFE}.
     *
     * @param self the incarnation that tickets must name
     * @param maxEntries tickets kept at once; as many refused tickets are kept in addition
     * @param maxBytes bytes of stored answers kept at once
     * @param time source of time
     */
    public TicketRegistry(NodeIdentity self, int maxEntries, long maxBytes, TimeSource time) {
        this(self, maxEntries, maxBytes, time, DEFAULT_MAX_LIFE);
    }

    /**
     * Creates an empty registry.
     *
     * @param self the incarnation that tickets must name
     * @param maxEntries tickets kept at once; as many refused tickets are kept in addition
     * @param maxBytes bytes of stored answers kept at once
     * @param time source of time
     * @param maxLife longest time until a ticket's expiry at its first claim; for longer-lived
     *     tickets a claim returns {@link Claim.Unknown}, so that an issuer whose clock is ahead
     *     cannot fill the table for long
     */
    public TicketRegistry(
            NodeIdentity self, int maxEntries, long maxBytes, TimeSource time, Duration maxLife) {
        if (maxEntries < 1) {
            throw new IllegalArgumentException("maxEntries must be positive, not " + maxEntries);
        }
        mSelf = Objects.requireNonNull(self);
        mMaxEntries = maxEntries;
        mAnswerMemory = new AnswerMemory(maxBytes, maxEntries);
        mTime = time;
        mMaxLife = maxLife;
        mStartNanos = time.nanos();
    }

    /**
     * Claims a ticket for a request. After {@link Claim.First} the caller must report the end of
     * the request with {@link #complete} or {@link #seal}; until then the entry is kept, even past
     * its expiry.
     *
     * @param t the ticket, already authenticated
     * @param fingerprint {@link Fingerprint} of the request
     * @param subscriber receives the answer if the request is in progress, or empty if it ends
     *     without one; another claim then tells whether it was sealed
     * @return the result of the claim
     */
    public synchronized Claim claim(
            Ticket t, long fingerprint, Consumer<Optional<StoredAnswer>> subscriber) {
        if (!t.owner().equals(mSelf)) {
            return new Claim.Unknown("the ticket names another incarnation");
        }
        evictExpired();
        TicketEntry e = mEntries.get(t.nonce());
        if (e != null) {
            return claimAgain(e, fingerprint, subscriber);
        }
        Optional<String> reasonNotToRun = reasonNotToRun(t);
        if (reasonNotToRun.isPresent()) {
            return new Claim.Unknown(reasonNotToRun.get());
        }
        if (mEntries.size() - mRefusedCount >= mMaxEntries || !mAnswerMemory.tryReserve()) {
            return recordRefusal(t);
        }
        record(t, fingerprint, TicketEntry.State.RUNNING);
        return new Claim.First();
    }

    /**
     * Records that a request was refused before it ran, whether or not its ticket was claimed.
     *
     * @param t the ticket
     * @return true if the request may be reported as not run, because it has not run and never runs
     *     under this ticket
     */
    public boolean seal(Ticket t) {
        List<Consumer<Optional<StoredAnswer>>> subscribers;
        synchronized (this) {
            if (!t.owner().equals(mSelf)) {
                return false;
            }
            evictExpired();
            TicketEntry e = mEntries.get(t.nonce());
            if (e == null) {
                return reasonNotToRun(t).isEmpty() && recordRefusal(t) instanceof Claim.Full;
            }
            if (e.mState != TicketEntry.State.RUNNING) {
                return e.isSealed();
            }
            mAnswerMemory.release();
            subscribers = e.end(TicketEntry.State.SEALED, null);
            evictIfExpired(e);
        }
        TicketEntry.notifyAll(subscribers, Optional.empty());
        return true;
    }

    /**
     * Records the end of a request that ran. Ignored unless the ticket is claimed and its request
     * is in progress. Subscribers receive the answer even if it is too large to store for later
     * claims.
     *
     * @param t the ticket
     * @param answer the complete answer, or empty if the request ran but its answer is not known
     */
    public void complete(Ticket t, Optional<StoredAnswer> answer) {
        List<Consumer<Optional<StoredAnswer>>> subscribers;
        synchronized (this) {
            TicketEntry e = t.owner().equals(mSelf) ? mEntries.get(t.nonce()) : null;
            if (e == null || e.mState != TicketEntry.State.RUNNING) {
                return;
            }
            mAnswerMemory.release();
            subscribers =
                    e.end(
                            TicketEntry.State.RAN,
                            answer.filter(mAnswerMemory::tryStore).orElse(null));
            evictExpired();
            evictIfExpired(e);
        }
        TicketEntry.notifyAll(subscribers, answer);
    }

    /**
     * Returns the number of recorded tickets, including refused ones.
     *
     * @return number of tickets, at most twice {@code maxEntries}
     */
    public synchronized int size() {
        evictExpired();
        return mEntries.size();
    }

    /**
     * Returns the memory that the stored answers take.
     *
     * @return size in bytes, at most {@code maxBytes}
     */
    public synchronized long storedBytes() {
        evictExpired();
        return mAnswerMemory.storedBytes();
    }

    private Claim claimAgain(
            TicketEntry e, long fingerprint, Consumer<Optional<StoredAnswer>> subscriber) {
        if (e.isSealed()) {
            return new Claim.Sealed();
        }
        if (e.mFingerprint != fingerprint) {
            return new Claim.Mismatch();
        }
        if (e.mState == TicketEntry.State.RAN) {
            return e.mAnswer != null
                    ? new Claim.Done(e.mAnswer)
                    : new Claim.Unknown("the request ran, but its answer was not stored");
        }
        return e.subscribe(subscriber, MAX_SUBSCRIBERS)
                ? new Claim.InProgress()
                : new Claim.Unknown(
                        "too many duplicates of the request wait for its answer; retry later");
    }

    /** Returns the reason why a ticket without an entry must not be run, if there is one. */
    private Optional<String> reasonNotToRun(Ticket t) {
        Instant now = mTime.now();
        if (!t.expiresAt().isAfter(now) || !t.expiresAt().isAfter(mEvictionHorizon)) {
            return Optional.of("the ticket has expired; check the result, then get a new ticket");
        }
        if (t.expiresAt().isAfter(now.plus(mMaxLife))) {
            return Optional.of("the ticket expires too far ahead; check the clocks of the nodes");
        }
        return Optional.empty();
    }

    /**
     * Records a ticket as refused. If there is no room for the record, the request cannot be
     * reported as not run: a late duplicate could be claimed once there is room again.
     */
    private Claim recordRefusal(Ticket t) {
        if (mRefusedCount >= mMaxEntries) {
            return new Claim.Unknown("the ticket registry is full and cannot record the refusal");
        }
        mRefusedCount++;
        record(t, 0, TicketEntry.State.REFUSED);
        return new Claim.Full();
    }

    /** Adds an entry. Its expiry is converted to monotonic time once, unaffected by clock steps. */
    private void record(Ticket t, long fingerprint, TicketEntry.State state) {
        long remainingNanos = Duration.between(mTime.now(), t.expiresAt()).toNanos();
        TicketEntry e = new TicketEntry(t, fingerprint, elapsedNanos() + remainingNanos, state);
        mEntries.put(t.nonce(), e);
        mByExpiry.add(e);
    }

    /** Evicts expired entries, except those of running requests, which must never run twice. */
    private void evictExpired() {
        long now = elapsedNanos();
        for (TicketEntry e = mByExpiry.peek();
                e != null && e.mExpiresAtNanos <= now;
                e = mByExpiry.peek()) {
            mByExpiry.remove();
            e.mExpired = true;
            evictIfExpired(e);
        }
    }

    private void evictIfExpired(TicketEntry e) {
        if (!e.mExpired || e.mState == TicketEntry.State.RUNNING) {
            return;
        }
        if (!mEntries.remove(e.mNonce, e)) {
            return;
        }
        if (e.mExpiresAt.isAfter(mEvictionHorizon)) {
            mEvictionHorizon = e.mExpiresAt;
        }
        if (e.mState == TicketEntry.State.REFUSED) {
            mRefusedCount--;
        }
        if (e.mAnswer != null) {
            mAnswerMemory.free(e.mAnswer);
        }
    }

    private long elapsedNanos() {
        return mTime.nanos() - mStartNanos;
    }
}
