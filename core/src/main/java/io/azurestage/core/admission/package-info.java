/**
 * Admission at the node of a backend server: limit, queue, classes, shares and chain levels.
 *
 * <p>{@link io.azurestage.core.admission.AdmissionController} decides about each request of one
 * backend server. Its parts have one job each:
 *
 * <ul>
 *   <li>{@code ConcurrencyLimit} follows the latency and the refusals of the server.
 *   <li>{@code WorkQueue}, {@code ClassQueue} and {@code PartnerQueue} order waiting work.
 *   <li>{@code WaitBound} says how long and how much work may wait.
 *   <li>{@code PartnerTable}, {@code PartnerState} and {@code Usage} keep shares, floors and slots
 *       in use; {@code LoanBook} reports lent shares.
 *   <li>{@code DemandEstimate}, {@code ServiceTimes} and {@code CapacityOffer} measure; {@code
 *       FractionPlan} divides with {@code WaterFilling}.
 * </ul>
 *
 * <p>{@link io.azurestage.core.admission.ChainLevels} keeps the fractions that answers carry, at
 * the entry of a chain and at each hop.
 */
package io.azurestage.core.admission;
