package io.azurestage.core.quota;

import io.azurestage.core.partner.PartnerPolicy;
import io.azurestage.core.partner.QuotaLimit;
import io.azurestage.core.time.TimeSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the accounts of the partners whose quotas this node owns, and grants requests to the nodes.
 * Not thread-safe.
 */
public final class QuotaLedger {
    private final TimeSource mTime;
    private final QuotaBounds mBounds;
    private final Map<String, QuotaLimit> mLimits = new HashMap<>();
    private final Map<String, PartnerAccount> mAccounts = new HashMap<>();

    /**
     * Creates a ledger without partners.
     *
     * @param time clock
     * @param bounds how closely quotas must be kept
     */
    public QuotaLedger(TimeSource time, QuotaBounds bounds) {
        mTime = time;
        mBounds = bounds;
    }

    /**
     * Applies the limits of a configuration. What the partners that stay have spent is kept.
     *
     * @param partners all partners
     */
    public void configure(List<PartnerPolicy> partners) {
        mLimits.clear();
        partners.forEach(p -> p.quota().ifPresent(q -> mLimits.put(p.name(), q)));
        mAccounts.keySet().retainAll(mLimits.keySet());
        mAccounts.forEach((name, account) -> account.setLimit(mLimits.get(name)));
    }

    /**
     * Counts a report and returns the node's new grant.
     *
     * @param node id of the node
     * @param report the report
     * @return the grant, or empty if this node knows no limit of the partner
     */
    public Optional<QuotaGrant> onReport(String node, QuotaReport report) {
        QuotaLimit limit = mLimits.get(report.partner());
        if (limit == null) {
            return Optional.empty();
        }
        long now = mTime.nanos();
        return Optional.of(
                mAccounts
                        .computeIfAbsent(
                                report.partner(), p -> new PartnerAccount(mBounds, limit, now))
                        .onReport(node, report, now));
    }
}
