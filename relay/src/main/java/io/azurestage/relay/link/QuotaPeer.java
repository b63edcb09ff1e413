package io.azurestage.relay.link;

import io.azurestage.core.quota.QuotaGrant;
import io.azurestage.core.quota.QuotaReport;
import java.util.List;

/** Handles the messages about quotas of partners that peers send. */
public interface QuotaPeer {
    /** Knows no quotas. */
    QuotaPeer NONE =
            new QuotaPeer() {
                @Override
                public List<QuotaGrant> onReports(String nodeId, List<QuotaReport> reports) {
                    return List.of();
                }

                @Override
                public void onGrants(List<QuotaGrant> grants) {}
            };

    /**
     * Counts the reports of a node as the owner of the partners' quotas.
     *
     * @param nodeId id of the reporting node
     * @param reports its reports
     * @return the node's new grants; none for partners without a known limit
     */
    List<QuotaGrant> onReports(String nodeId, List<QuotaReport> reports);

    /**
     * Applies grants that answer this node's reports.
     *
     * @param grants the grants
     */
    void onGrants(List<QuotaGrant> grants);
}
