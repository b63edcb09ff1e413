package io.azurestage.core.quota;

/**
 * Reply of a partner's owner to a {@link QuotaReport}.
 *
 * @param partner name of the partner
 * @param epoch epoch of the report
 * @param acknowledged admitted total of the report, which the owner has counted
 * @param fraction fraction of the arriving requests that the limit has room for, in (0,1]
 * @param rate requests per second that the node may admit, infinite if the fraction is 1
 * @param credit requests that the node may admit beyond the acknowledged total
 * @param share the node's share of the partner's rate while it cannot reach the owner, in [0,1]
 * @param level level of the token bucket, negative if too much was admitted
 */
public record QuotaGrant(
        String partner,
        long epoch,
        long acknowledged,
        double fraction,
        double rate,
        double credit,
        double share,
        double level) {}
