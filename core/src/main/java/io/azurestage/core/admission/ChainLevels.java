package io.azurestage.core.admission;

import io.azurestage.core.time.TimeSource;
import java.util.Map;

/** Admitted fractions of the services below, learnt from answers. Thread-safe. */
public final class ChainLevels {

    /**
     * Creates an empty table.
     *
     * @param time source of time
     */
    public ChainLevels(TimeSource time) {}

    /**
     * Learns the fractions that an answer carried.
     *
     * @param key chain of the answered request
     * @param fractions admitted fraction by service; a service that is absent admits everything
     */
    public void learn(ChainKey key, Map<String, Double> fractions) {}

    /**
     * Returns the fraction to admit at the entry of a chain.
     *
     * @param key the chain
     * @return a number in (0,1], 1 when nothing is known
     */
    public double fraction(ChainKey key) {
        return 1;
    }

    /**
     * Returns the fractions to pass on to the hop above.
     *
     * @param key the chain
     * @return fractions below 1 by service
     */
    public Map<String, Double> fractions(ChainKey key) {
        return Map.of();
    }
}
