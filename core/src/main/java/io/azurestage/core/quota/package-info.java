/**
 * Limits on the requests of partners that hold over all nodes.
 *
 * <p>Each partner has one owner node. A node admits requests on its own up to a small credit and
 * reports what it has admitted; the owner keeps the partner's token bucket and returns a new credit
 * and, near the limit, a rate ({@link io.azurestage.core.quota.QuotaMeter} and {@link
 * io.azurestage.core.quota.QuotaLedger}). Nothing here does I/O.
 */
package io.azurestage.core.quota;
