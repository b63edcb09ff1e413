package io.azurestage.bench.standin;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Distribution of service times. */
@FunctionalInterface
public interface ServiceTime {

    /**
     * Draws one service time.
     *
     * @param random random number generator
     * @return service time in nanoseconds, not negative
     */
    long nanos(RandomGenerator random);

    /**
     * Returns a constant service time.
     *
     * @param time the service time
     * @return a distribution with a single value
     */
    static ServiceTime fixed(Duration time) {
        return random -> time.toNanos();
    }

    /**
     * Returns an exponential distribution.
     *
     * @param mean mean service time
     * @return a distribution with a coefficient of variation of 1
     */
    static ServiceTime exponential(Duration mean) {
        return random -> (long) (random.nextExponential() * mean.toNanos());
    }

    /**
     * Returns a uniform distribution around a mean.
     *
     * @param mean mean service time
     * @param spread largest deviation as a fraction of the mean, from 0 to 1
     * @return a distribution over mean * (1 - spread) to mean * (1 + spread)
     */
    static ServiceTime uniform(Duration mean, double spread) {
        return random -> (long) (mean.toNanos() * (1 + spread * (2 * random.nextDouble() - 1)));
    }
}
