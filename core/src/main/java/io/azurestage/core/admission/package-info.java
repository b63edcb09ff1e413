/**
 * Admission control at the node of a backend server: concurrency limit, queue, classes, shares and
 * chain levels.
 *
 * <p>{@link io.azurestage.core.admission.AdmissionController} decides on each request of one
 * backend server. It is composed of:
 *
 * <ul>
 *   <li>{@code ConcurrencyLimit} adapts to the latency and the refusals of the server.
 *   <li>{@code WorkQueue}, {@code ClassQueue} and {@code PartnerQueue} order the queued work.
 *   <li>{@code QueueDelayLimit} limits the queueing delay and the queue length.
 *   <li>{@code PartnerTable}, {@code PartnerState} and {@code SlotUsage} hold shares, floors and
 *       slot usage; {@code LoanTracker} reports lent shares.
 *   <li>{@code ArrivalRates}, {@code ServiceTimes} and {@code OfferedCapacity} estimate demand and
 *       capacity; {@code CapacityAllocator} computes the admitted fractions with {@code
 *       WaterFilling}.
 * </ul>
 *
 * <p>{@link io.azurestage.core.admission.ChainLevels} stores the fractions that responses carry, at
 * the entry of a chain and at each hop.
 */
package io.azurestage.core.admission;
