package io.azurestage.core.admission;

/**
 * Estimated demand of a partner and class.
 *
 * @param slots slots that the offered requests would hold
 * @param error standard error of the estimate, in slots
 */
record Demand(double slots, double error) {
    static final Demand NONE = new Demand(0, 0);

    /**
     * Returns the demand that chance alone does not explain. Without this margin, a partner that
     * asks for a little less than its share is refused whenever its estimate is a little high.
     */
    double surely() {
        return slots - error;
    }
}
