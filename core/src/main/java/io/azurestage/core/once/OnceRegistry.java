package io.azurestage.core.once;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.time.TimeSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Remembers which tickets were used at this node incarnation. Thread-safe. */
public final class OnceRegistry {
    private final NodeIdentity mSelf;
    private final Map<String, Optional<StoredAnswer>> mEntries = new HashMap<>();

    /**
     * Creates an empty registry.
     *
     * @param self the incarnation that tickets must name
     * @param maxEntries tickets kept at once
     * @param maxBytes bytes of stored answers kept at once
     * @param time source of time
     */
    public OnceRegistry(NodeIdentity self, int maxEntries, long maxBytes, TimeSource time) {
        mSelf = self;
    }

    /**
     * Claims a ticket for a request.
     *
     * @param t the ticket, already authenticated
     * @param fingerprint identifies the request's content
     * @param subscriber hears the answer if the request is in progress; empty if it ended without
     *     one
     * @return what to do
     */
    public synchronized Claim claim(
            Ticket t, long fingerprint, Consumer<Optional<StoredAnswer>> subscriber) {
        if (!t.owner().equals(mSelf)) {
            return new Claim.Unknown("the ticket names another incarnation");
        }
        Optional<StoredAnswer> known = mEntries.putIfAbsent(t.nonce(), Optional.empty());
        return known == null ? new Claim.First() : new Claim.Unknown("repeated");
    }

    /**
     * Records that the request of a claimed ticket was refused before it ran.
     *
     * @param t the ticket
     */
    public synchronized void seal(Ticket t) {}

    /**
     * Records the answer of a claimed ticket.
     *
     * @param t the ticket
     * @param answer the whole answer, or empty if the request ran but its answer is not known
     */
    public synchronized void complete(Ticket t, Optional<StoredAnswer> answer) {
        mEntries.put(t.nonce(), answer);
    }
}
