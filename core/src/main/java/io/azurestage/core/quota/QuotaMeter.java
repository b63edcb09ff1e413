package io.azurestage.core.quota;

import io.azurestage.core.partner.PartnerPolicy;
import io.azurestage.core.time.TimeSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides at a node which requests of partners fit into their quotas.
 *
 * <p>The load pattern: many partners, each with few requests a second at a node, and now and then
 * one that sends many times its usual. A fixed part of the limit at each node would refuse clumps
 * of a few requests. So a node admits requests up to a credit before the owner knows of them, and
 * the rate that the owner returned binds only while the partner is near its limit. A node that gets
 * no reply admits a part of its share of the rate, which the owner keeps back for it. Not
 * thread-safe.
 */
public final class QuotaMeter {
    /** Part of its share of the rate that a node admits while the owner does not reply. */
    static final double OWN_RATE_PART = 0.8;

    private final TimeSource mTime;
    private final QuotaBounds mBounds;
    private final Map<String, PartnerMeter> mPartners = new HashMap<>();
    private QuotaOwners mOwners = new QuotaOwners(List.of());
    private long mEpoch;

    /**
     * Creates a meter without partners, which admits everything.
     *
     * @param time clock
     * @param bounds how closely quotas must be kept
     * @param firstEpoch number that no earlier process of this node has used, such as its start
     *     time
     */
    public QuotaMeter(TimeSource time, QuotaBounds bounds, long firstEpoch) {
        mTime = time;
        mBounds = bounds;
        mEpoch = firstEpoch;
    }

    /**
     * Applies the limits of a configuration. Counts of partners that stay are kept.
     *
     * @param partners all partners
     */
    public void configure(List<PartnerPolicy> partners) {
        Map<String, PartnerMeter> kept = new HashMap<>();
        for (PartnerPolicy p : partners) {
            if (p.quota().isPresent()) {
                PartnerMeter meter = mPartners.get(p.name());
                if (meter == null) {
                    meter = new PartnerMeter(p.name(), p.quota().get());
                    assignOwner(meter);
                }
                meter.setLimit(p.quota().get());
                kept.put(p.name(), meter);
            }
        }
        mPartners.clear();
        mPartners.putAll(kept);
    }

    /**
     * Applies a change of the known nodes.
     *
     * @param owners choice of the owners among them
     */
    public void setOwners(QuotaOwners owners) {
        mOwners = owners;
        mPartners.values().forEach(this::assignOwner);
    }

    private void assignOwner(PartnerMeter meter) {
        meter.setFleet(Math.max(1, mOwners.nodes()), mBounds);
        String owner = mOwners.ownerOf(meter.partner()).orElse("");
        if (!owner.equals(meter.owner())) {
            meter.changeOwner(owner, ++mEpoch);
        }
    }

    /**
     * Decides on a request and counts it.
     *
     * @param partner name of the request's partner
     * @return whether it fits into the quota
     */
    public boolean admit(String partner) {
        PartnerMeter meter = mPartners.get(partner);
        return meter == null || meter.admit(mTime.nanos());
    }

    /**
     * Gives back the place of a request that was admitted and ended without having run.
     *
     * @param partner name of the request's partner
     */
    public void giveBack(String partner) {
        PartnerMeter meter = mPartners.get(partner);
        if (meter != null) {
            meter.giveBack();
        }
    }

    /**
     * Returns what is known of a partner's quota.
     *
     * @param partner name of the partner
     * @return the status, or empty if the partner has no limit
     */
    public Optional<QuotaStatus> status(String partner) {
        return Optional.ofNullable(mPartners.get(partner)).map(m -> m.status(mTime.nanos()));
    }

    /**
     * Reports whether the owner of a partner has to be told at once.
     *
     * @param partner name of the partner
     * @return whether a report is due
     */
    public boolean isReportDue(String partner) {
        PartnerMeter meter = mPartners.get(partner);
        return meter != null && meter.isReportDue(mTime.nanos());
    }

    /**
     * Collects the reports that are due. Partners with the same owner as one that is due are
     * reported along with it, which saves messages.
     *
     * @return reports by owner; the caller sends them
     */
    public Map<String, List<QuotaReport>> collectReports() {
        long now = mTime.nanos();
        Map<String, List<QuotaReport>> byOwner = new HashMap<>();
        for (PartnerMeter meter : mPartners.values()) {
            if (meter.isReportDue(now)) {
                byOwner.computeIfAbsent(meter.owner(), o -> new ArrayList<>());
            }
        }
        if (byOwner.isEmpty()) {
            return byOwner;
        }
        for (PartnerMeter meter : mPartners.values()) {
            List<QuotaReport> reports = byOwner.get(meter.owner());
            if (reports != null && (meter.hasNews() || meter.isReportDue(now))) {
                reports.add(meter.report(now));
            }
        }
        return byOwner;
    }

    /**
     * Applies a grant of a partner's owner. One that answers a report to an earlier owner is
     * ignored.
     *
     * @param grant the grant
     */
    public void onGrant(QuotaGrant grant) {
        PartnerMeter meter = mPartners.get(grant.partner());
        if (meter != null) {
            meter.onGrant(grant, mTime.nanos());
        }
    }
}
