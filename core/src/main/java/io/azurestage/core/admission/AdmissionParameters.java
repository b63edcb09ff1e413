package io.azurestage.core.admission;

import java.time.Duration;

/**
 * Parameters of an {@link AdmissionController}, apart from its slots. Tests compare different
 * values.
 *
 * @param adaptiveLimit whether the limit adapts to latency and refusals; if false it equals the
 *     number of slots
 * @param order order of queued work of one partner and class
 * @param target queueing delay that a standing queue may cause
 * @param targetServiceTimes the same in mean service times; the larger of the two applies
 * @param horizon time in which the fractions bring the queueing delay to half the target; a longer
 *     time gives a weaker reaction
 * @param maxGrowth maximum capacity offered in excess while slots are idle, relative to the limit
 */
record AdmissionParameters(
        boolean adaptiveLimit,
        QueueOrder order,
        Duration target,
        double targetServiceTimes,
        Duration horizon,
        double maxGrowth) {
    static final AdmissionParameters DEFAULT =
            new AdmissionParameters(
                    true, QueueOrder.FIFO, Duration.ofMillis(50), 3, Duration.ofMillis(500), 1);
}
