package io.azurestage.core.admission;

import java.time.Duration;

/**
 * Choices that the tests compare with each other.
 *
 * @param adaptiveLimit whether the limit follows latency and refusals; otherwise it is the slots
 * @param order order of equally entitled work
 * @param target waiting time that a standing queue may cause
 * @param targetServiceTimes the same in mean service times; the larger of both applies
 * @param horizon time in which the fractions bring a queue to half the target; longer reacts less
 * @param maxGrowth part of the capacity that is offered besides it at most, while slots are idle
 */
record Tuning(
        boolean adaptiveLimit,
        QueueOrder order,
        Duration target,
        double targetServiceTimes,
        Duration horizon,
        double maxGrowth) {
    static final Tuning DEFAULT =
            new Tuning(true, QueueOrder.FIFO, Duration.ofMillis(50), 3, Duration.ofMillis(500), 1);
}
