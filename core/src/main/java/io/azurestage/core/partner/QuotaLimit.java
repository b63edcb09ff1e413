package io.azurestage.core.partner;

/**
 * Limit of a partner's requests over all nodes, as a token bucket.
 *
 * @param ratePerSecond sustained requests per second, positive
 * @param burst requests that may come at once after a quiet time, not negative
 */
public record QuotaLimit(double ratePerSecond, double burst) {

    /** Validates the components. */
    public QuotaLimit {
        if (!(ratePerSecond > 0) || !(burst >= 0)) {
            throw new IllegalArgumentException(
                    "a quota needs a positive rate and a burst of 0 or more, not "
                            + ratePerSecond
                            + " and "
                            + burst);
        }
    }
}
