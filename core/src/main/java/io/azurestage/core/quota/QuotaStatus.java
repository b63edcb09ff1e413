package io.azurestage.core.quota;

import java.time.Duration;

/**
 * What a node knows of a partner's quota, for the explanation of a refusal.
 *
 * @param fraction fraction of the partner's requests that its limit has room for, in (0,1]
 * @param ratePerSecond limit of the partner in requests per second
 * @param grantAge age of the owner's last grant; zero if there was none
 */
public record QuotaStatus(double fraction, double ratePerSecond, Duration grantAge) {}
