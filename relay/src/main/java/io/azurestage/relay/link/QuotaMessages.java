package io.azurestage.relay.link;

import io.azurestage.core.quota.QuotaGrant;
import io.azurestage.core.quota.QuotaReport;
import io.azurestage.wire.generated.link.LinkMessage;
import io.azurestage.wire.generated.link.QuotaGrants;
import io.azurestage.wire.generated.link.QuotaReports;
import java.util.List;

/** Converts between quota reports and grants, and link messages. */
final class QuotaMessages {
    private QuotaMessages() {}

    static LinkMessage ofReports(List<QuotaReport> reports) {
        QuotaReports.Builder all = QuotaReports.newBuilder();
        for (QuotaReport r : reports) {
            all.addReports(
                    io.azurestage.wire.generated.link.QuotaReport.newBuilder()
                            .setPartner(r.partner())
                            .setEpoch(r.epoch())
                            .setAcknowledged(r.acknowledged())
                            .setAdmitted(r.admitted())
                            .setOffered(r.offered())
                            .setRate(r.rate())
                            .setShare(r.share())
                            .setLevel(r.level()));
        }
        return LinkMessage.newBuilder().setQuotaReports(all).build();
    }

    static List<QuotaReport> toReports(QuotaReports message) {
        return message.getReportsList().stream()
                .map(
                        r ->
                                new QuotaReport(
                                        r.getPartner(),
                                        r.getEpoch(),
                                        r.getAcknowledged(),
                                        r.getAdmitted(),
                                        r.getOffered(),
                                        r.getRate(),
                                        r.getShare(),
                                        r.getLevel()))
                .toList();
    }

    static LinkMessage ofGrants(List<QuotaGrant> grants) {
        QuotaGrants.Builder all = QuotaGrants.newBuilder();
        for (QuotaGrant g : grants) {
            all.addGrants(
                    io.azurestage.wire.generated.link.QuotaGrant.newBuilder()
                            .setPartner(g.partner())
                            .setEpoch(g.epoch())
                            .setAcknowledged(g.acknowledged())
                            .setFraction(g.fraction())
                            .setRate(g.rate())
                            .setCredit(g.credit())
                            .setShare(g.share())
                            .setLevel(g.level()));
        }
        return LinkMessage.newBuilder().setQuotaGrants(all).build();
    }

    static List<QuotaGrant> toGrants(QuotaGrants message) {
        return message.getGrantsList().stream()
                .map(
                        g ->
                                new QuotaGrant(
                                        g.getPartner(),
                                        g.getEpoch(),
                                        g.getAcknowledged(),
                                        g.getFraction(),
                                        g.getRate(),
                                        g.getCredit(),
                                        g.getShare(),
                                        g.getLevel()))
                .toList();
    }
}
