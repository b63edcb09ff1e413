package io.azurestage.core.admission;

import java.time.Duration;

/**
 * Choices that the tests compare with each other.
 *
 * @param adaptiveLimit whether the limit follows latency and refusals; otherwise it is the slots
 * @param order order of equally entitled work
 * @param target waiting time that a standing queue may cause
 * @param targetServiceTimes the same in mean service times; the larger of both applies
 * @param headroom capacity offered to callers, as a multiple of the estimate
 */
record Tuning(
        boolean adaptiveLimit,
        QueueOrder order,
        Duration target,
        double targetServiceTimes,
        double headroom) {
    static final Tuning DEFAULT =
            new Tuning(true, QueueOrder.RANK, Duration.ofMillis(20), 0.5, 1.02);
}
