package io.azurestage.core.admission;

/**
 * Estimated demand of a partner in one class.
 *
 * @param slots number of slots that the offered requests would occupy
 * @param error standard error of the estimate, in slots
 */
record Demand(double slots, double error) {
    static final Demand NONE = new Demand(0, 0);

    /**
     * Returns the estimate minus its standard error, in slots. Without this margin, a partner whose
     * demand is slightly below its share would be refused work whenever the estimate is slightly
     * too high.
     */
    double lowerBound() {
        return slots - error;
    }
}
