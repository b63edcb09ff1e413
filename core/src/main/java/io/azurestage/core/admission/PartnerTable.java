package io.azurestage.core.admission;

import io.azurestage.config.MeshConfig;
import io.azurestage.config.Partner;
import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/** The partners, their shares and their floors. */
final class PartnerTable {
    private final Map<String, PartnerState> mPartners = new TreeMap<>();
    private double mShareSum;

    void configure(MeshConfig config, long nowNanos) {
        mPartners.values().forEach(PartnerState::unconfigure);
        for (Partner p : config.partners().values()) {
            of(p.name(), nowNanos).configure(p);
        }
        sumShares();
    }

    PartnerState of(String name, long nowNanos) {
        PartnerState known = mPartners.get(name);
        if (known != null) {
            return known;
        }
        PartnerState added = new PartnerState(name, nowNanos);
        mPartners.put(name, added);
        sumShares();
        return added;
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
