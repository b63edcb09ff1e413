package io.azurestage.core.partner;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A partner as the operators configure it.
 *
 * @param name unique name, which servers receive with each request of the partner
 * @param keys access keys that identify the partner's callers; none if the partner may not call
 * @param rank rank of the partner's requests, which precedes that of their route; 0 is the most
 *     important
 * @param quota limit of the partner's requests, empty if there is none
 */
public record PartnerPolicy(
        String name, Set<String> keys, OptionalInt rank, Optional<QuotaLimit> quota) {

    /** Copies the keys and validates the components. */
    public PartnerPolicy {
        keys = Set.copyOf(keys);
        if (name.isEmpty()) {
            throw new IllegalArgumentException("a partner has no name; set one");
        }
        if (rank.isPresent() && rank.getAsInt() < 0) {
            throw new IllegalArgumentException(
                    "the rank of partner " + name + " is negative; use 0 or more");
        }
    }

    /** Omits the keys, since they must not get into logs. */
    @Override
    public String toString() {
        return "PartnerPolicy[name=" + name + ", keys=" + keys.size() + ", rank=" + rank + "]";
    }
}
