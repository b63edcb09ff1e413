package io.azurestage.core.admission;

import io.azurestage.config.MeshConfig;
import io.azurestage.config.Partner;
import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/** The partners, their shares and their floors. */
final class PartnerTable {
    /** Bounds the memory used for partners that are not in the configuration. */
    private static final int MAX_UNCONFIGURED = 256;

    /** Shared entry for unknown partners beyond the bound; no configured partner has this name. */
    private static final String OTHERS = "";

    private final Map<String, PartnerState> mPartners = new TreeMap<>();
    private double mTotalShare;
    private int mConfiguredCount;

    void configure(MeshConfig config, long nowNanos) {
        mPartners.values().forEach(PartnerState::unconfigure);
        mConfiguredCount = config.partners().size();
        for (Partner p : config.partners().values()) {
            mPartners
                    .computeIfAbsent(p.name(), name -> new PartnerState(name, nowNanos))
                    .configure(p);
        }
        updateTotalShare();
    }

    /**
     * Returns the state of a partner. A partner that is not configured gets a minimal share of its
     * own; beyond a maximum number of such partners, all others use one common share.
     */
    PartnerState getOrAdd(String name, long nowNanos) {
        PartnerState state = mPartners.get(name);
        if (state != null) {
            return state;
        }
        String key = mPartners.size() - mConfiguredCount < MAX_UNCONFIGURED ? name : OTHERS;
        PartnerState added = new PartnerState(key, nowNanos);
        PartnerState existing = mPartners.putIfAbsent(key, added);
        updateTotalShare();
        return existing == null ? added : existing;
    }

    /** Removes idle partners that are not configured. */
    void removeIdle(long nowNanos) {
        if (mPartners.values().removeIf(p -> p.isRemovable(nowNanos))) {
            updateTotalShare();
        }
    }

    Collection<PartnerState> all() {
        return Collections.unmodifiableCollection(mPartners.values());
    }

    /** Returns the part of a capacity that a partner's share entitles it to. */
    double entitlement(PartnerState p, double capacity) {
        return mTotalShare <= 0 ? capacity : capacity * p.share() / mTotalShare;
    }

    /**
     * Reports whether a partner may take one more slot. It may always use its own share; beyond
     * that, it must leave the unused floors of active partners free. A floor is reserved only from
     * classes no higher than the class for which its partner was active, because a floor for
     * browsing work must not block critical work.
     */
    boolean mayStart(PartnerState p, int workClass, int free, int limit, long nowNanos) {
        if (free <= 0) {
            return false;
        }
        if (p.inFlight() + 1 <= entitlement(p, limit)) {
            return true;
        }
        long reserved = 0;
        for (PartnerState other : mPartners.values()) {
            if (other != p && other.isActive(workClass, nowNanos)) {
                reserved += Math.max(0, other.floorSlots(limit) - other.inFlight());
            }
        }
        return free > reserved;
    }

    private void updateTotalShare() {
        mTotalShare = mPartners.values().stream().mapToInt(PartnerState::share).sum();
    }
}
