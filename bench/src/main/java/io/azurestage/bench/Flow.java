package io.azurestage.bench;

import io.azurestage.client.CallClass;
import java.util.List;

/**
 * Requests of one partner, class and operation, with a rate in requests per second for each phase.
 * An impatient flow retries an unsuccessful request up to {@code callerRetries} times and ignores
 * Retry-After.
 */
record Flow(
        String partner,
        CallClass workClass,
        String method,
        String path,
        List<Double> rates,
        int callerRetries) {

    Flow {
        rates = List.copyOf(rates);
        if (rates.stream().anyMatch(rate -> rate < 0)) {
            throw new IllegalArgumentException("rates must not be negative: " + rates);
        }
    }
}
