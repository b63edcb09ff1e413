package io.azurestage.core.admission;

import io.azurestage.config.MeshConfig;
import io.azurestage.config.Partner;
import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/** The partners, their shares and their floors. */
final class PartnerTable {
    /** Bounds the memory that partners outside the configuration can take. */
    private static final int MAX_UNKNOWN = 256;

    /** Takes the work of unknown partners over the bound; no configured partner has this name. */
    private static final String OTHERS = "";

    private final Map<String, PartnerState> mPartners = new TreeMap<>();
    private double mShareSum;
    private int mConfigured;

    void configure(MeshConfig config, long nowNanos) {
        mPartners.values().forEach(PartnerState::unconfigure);
        mConfigured = config.partners().size();
        for (Partner p : config.partners().values()) {
            mPartners
                    .computeIfAbsent(p.name(), name -> new PartnerState(name, nowNanos))
                    .configure(p);
        }
        sumShares();
    }

    /**
     * Returns the state of a partner. A partner that the configuration does not name gets a minimal
     * share of its own; when there are too many of them, further ones have one share together.
     */
    PartnerState of(String name, long nowNanos) {
        PartnerState known = mPartners.get(name);
        if (known != null) {
            return known;
        }
        String used = mPartners.size() - mConfigured < MAX_UNKNOWN ? name : OTHERS;
        PartnerState added = new PartnerState(used, nowNanos);
        PartnerState present = mPartners.putIfAbsent(used, added);
        sumShares();
        return present == null ? added : present;
    }

    /** Drops idle partners that the configuration does not name. */
    void dropIdle(long nowNanos) {
        if (mPartners.values().removeIf(p -> p.isDisposable(nowNanos))) {
            sumShares();
        }
    }

    Collection<PartnerState> all() {
        return Collections.unmodifiableCollection(mPartners.values());
    }

    /** Returns a partner's part of a capacity. */
    double part(PartnerState p, double capacity) {
        return mShareSum <= 0 ? capacity : capacity * p.share() / mShareSum;
    }

    /**
     * Reports whether a partner may take one more slot. Its own share is always free to it; more
     * than that must leave the unused floors of active partners. A floor counts only against
     * classes that are no more important than the work for which its owner was active, because a
     * floor for browsing must not hold back advances.
     */
    boolean mayStart(PartnerState p, int workClass, int free, int limit, long nowNanos) {
        if (free <= 0) {
            return false;
        }
        if (p.inFlight() + 1 <= part(p, limit)) {
            return true;
        }
        long reserved = 0;
        for (PartnerState q : mPartners.values()) {
            if (q != p && q.isActive(workClass, nowNanos)) {
                reserved += Math.max(0, q.floorSlots(limit) - q.inFlight());
            }
        }
        return free > reserved;
    }

    private void sumShares() {
        mShareSum = mPartners.values().stream().mapToInt(PartnerState::share).sum();
    }
}
