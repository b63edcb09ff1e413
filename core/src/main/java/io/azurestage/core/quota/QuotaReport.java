package io.azurestage.core.quota;

/**
 * What a node has admitted for a partner. The totals are cumulative, so that a report that is lost
 * or sent twice does no harm.
 *
 * @param partner name of the partner
 * @param epoch counts the owners that the node has reported to; totals start again with each
 * @param acknowledged admitted total that the owner has counted; the part of the total that an
 *     owner which has lost its state must count is above it
 * @param admitted requests admitted in this epoch, less those that ended without having run
 * @param offered requests that arrived in this epoch
 * @param rate requests per second that the node may admit at present, infinite if the partner is
 *     below its limit
 * @param share the node's share of the partner's rate in the last grant, or the equal share
 * @param level level of the token bucket in the last grant, from which an owner that takes over
 *     goes on; infinite if the node has had no grant
 */
public record QuotaReport(
        String partner,
        long epoch,
        long acknowledged,
        long admitted,
        long offered,
        double rate,
        double share,
        double level) {}
