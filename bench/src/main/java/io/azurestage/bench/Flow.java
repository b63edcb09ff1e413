package io.azurestage.bench;

import io.azurestage.client.CallClass;
import java.util.List;

/**
 * Requests of one kind: one partner, class and operation, with one rate per second for each phase.
 * An impatient flow repeats a failed request up to {@code hardRetries} times, without regard to
 * retry-after.
 */
record Flow(
        String partner,
        CallClass workClass,
        String method,
        String path,
        List<Double> rates,
        int hardRetries) {

    Flow {
        rates = List.copyOf(rates);
        if (rates.stream().anyMatch(rate -> rate < 0)) {
            throw new IllegalArgumentException("rates must not be negative: " + rates);
        }
    }
}
