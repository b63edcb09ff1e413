package io.azurestage.relay.quota;

import io.azurestage.core.partner.PartnerPolicy;
import io.azurestage.core.quota.QuotaBounds;
import io.azurestage.core.quota.QuotaGrant;
import io.azurestage.core.quota.QuotaLedger;
import io.azurestage.core.quota.QuotaMeter;
import io.azurestage.core.quota.QuotaOwners;
import io.azurestage.core.quota.QuotaReport;
import io.azurestage.core.quota.QuotaStatus;
import io.azurestage.core.time.TimeSource;
import io.azurestage.relay.link.QuotaPeer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Admits requests of partners within their quotas, reports them to the owners of the quotas, and
 * grants requests to other nodes for the partners that this node owns. Confined to the event loop.
 */
public final class QuotaExchange implements QuotaPeer {
    private final String mOwnNodeId;
    private final String mOwnLinkAddress;
    private final QuotaMeter mMeter;
    private final QuotaLedger mLedger;
    private final BiConsumer<String, List<QuotaReport>> mSender;

    /**
     * Creates an exchange without partners.
     *
     * @param time clock
     * @param bounds how closely quotas must be kept
     * @param ownNodeId id of this node
     * @param ownLinkAddress link address of this node, by which owners are named
     * @param firstEpoch number that no earlier process of this node has used
     * @param sender sends reports to the node with a link address
     */
    public QuotaExchange(
            TimeSource time,
            QuotaBounds bounds,
            String ownNodeId,
            String ownLinkAddress,
            long firstEpoch,
            BiConsumer<String, List<QuotaReport>> sender) {
        mOwnNodeId = ownNodeId;
        mOwnLinkAddress = ownLinkAddress;
        mMeter = new QuotaMeter(time, bounds, firstEpoch);
        mLedger = new QuotaLedger(time, bounds);
        mSender = sender;
    }

    /**
     * Applies the limits of a configuration.
     *
     * @param partners all partners
     */
    public void configure(List<PartnerPolicy> partners) {
        mMeter.configure(partners);
        mLedger.configure(partners);
    }

    /**
     * Applies a change of the known nodes.
     *
     * @param linkAddresses link addresses of all nodes
     */
    public void setNodes(Set<String> linkAddresses) {
        mMeter.setOwners(new QuotaOwners(linkAddresses));
    }

    /**
     * Decides on a request of a partner and counts it.
     *
     * @param partner name of the partner
     * @return whether the request fits into the quota
     */
    public boolean admit(String partner) {
        boolean admitted = mMeter.admit(partner);
        if (mMeter.isReportDue(partner)) {
            sendReports();
        }
        return admitted;
    }

    /**
     * Gives back the place of an admitted request that ended without having run.
     *
     * @param partner name of the partner
     */
    public void giveBack(String partner) {
        mMeter.giveBack(partner);
    }

    /**
     * Returns what is known of a partner's quota.
     *
     * @param partner name of the partner
     * @return the status, or empty if the partner has no limit
     */
    public Optional<QuotaStatus> status(String partner) {
        return mMeter.status(partner);
    }

    /** Sends the reports that are due. Call it every 100 ms. */
    public void tick() {
        sendReports();
    }

    private void sendReports() {
        mMeter.collectReports()
                .forEach(
                        (owner, reports) -> {
                            if (owner.equals(mOwnLinkAddress)) {
                                onGrants(onReports(mOwnNodeId, reports));
                            } else {
                                mSender.accept(owner, reports);
                            }
                        });
    }

    @Override
    public List<QuotaGrant> onReports(String nodeId, List<QuotaReport> reports) {
        List<QuotaGrant> grants = new ArrayList<>(reports.size());
        for (QuotaReport r : reports) {
            mLedger.onReport(nodeId, r).ifPresent(grants::add);
        }
        return grants;
    }

    @Override
    public void onGrants(List<QuotaGrant> grants) {
        grants.forEach(mMeter::onGrant);
    }
}
