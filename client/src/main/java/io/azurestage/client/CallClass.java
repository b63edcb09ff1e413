package io.azurestage.client;

/**
 * Class of work that a caller asks for. A caller can only lower the class that the configuration
 * gives to the operation.
 */
public enum CallClass {
    /** Advances, bookings, die orders and cancellations. */
    CRITICAL,
    /** Checks and order status. */
    NORMAL,
    /** Catalogue browsing. */
    BROWSING
}
