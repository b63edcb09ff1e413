package io.azurestage.core.partner;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Finds the partner that an access key belongs to. Immutable. */
public final class PartnerDirectory {
    /** Directory of a configuration without partners, in which requests carry no keys. */
    public static final PartnerDirectory EMPTY = new PartnerDirectory(List.of());

    private final List<PartnerPolicy> mPartners;
    private final Map<String, PartnerPolicy> mByKey = new HashMap<>();

    /**
     * Creates a directory.
     *
     * @param partners all partners
     * @throws IllegalArgumentException if two partners have the same name or share a key
     */
    public PartnerDirectory(List<PartnerPolicy> partners) {
        mPartners = List.copyOf(partners);
        Map<String, PartnerPolicy> byName = new HashMap<>();
        for (PartnerPolicy p : mPartners) {
            if (byName.put(p.name(), p) != null) {
                throw new IllegalArgumentException(
                        "two partners have the name " + p.name() + "; rename one");
            }
            for (String key : p.keys()) {
                PartnerPolicy other = mByKey.put(key, p);
                if (other != null) {
                    throw new IllegalArgumentException(
                            "partners "
                                    + other.name()
                                    + " and "
                                    + p.name()
                                    + " share a key; give each its own");
                }
            }
        }
    }

    /**
     * Reports whether requests need a key at all.
     *
     * @return whether no partners are configured
     */
    public boolean isEmpty() {
        return mPartners.isEmpty();
    }

    /**
     * Returns all partners.
     *
     * @return the partners in the order of the configuration
     */
    public List<PartnerPolicy> all() {
        return mPartners;
    }

    /**
     * Finds the holder of a key.
     *
     * @param key key of a request
     * @return the partner, or empty if no partner has the key
     */
    public Optional<PartnerPolicy> byKey(String key) {
        return Optional.ofNullable(mByKey.get(key));
    }
}
