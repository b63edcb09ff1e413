package io.azurestage.config;

/** Classes of work in order of precedence under overload. */
public enum WorkClass {
    /** Advances, bookings, die orders and cancellations. Shed last. */
    CRITICAL,
    /** Checks and order status. */
    NORMAL,
    /** Catalogue browsing. Shed first. */
    BROWSING;

    /**
     * Returns the less important of this class and another one.
     *
     * @param other the class to compare with
     * @return the class that is shed earlier
     */
    public WorkClass lower(WorkClass other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
