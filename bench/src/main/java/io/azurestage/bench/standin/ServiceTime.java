package io.azurestage.bench.standin;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Distribution of service times. */
@FunctionalInterface
public interface ServiceTime {

    /**
     * Draws one service time.
     *
     * @param random source of randomness
     * @return nanoseconds, not negative
     */
    long nanos(RandomGenerator random);

    /**
     * Returns a constant service time.
     *
     * @param time the service time
     * @return a distribution without spread
     */
    static ServiceTime fixed(Duration time) {
        return random -> time.toNanos();
    }

    /**
     * Returns exponentially distributed service times.
     *
     * @param mean the mean
     * @return a distribution with a coefficient of variation of 1
     */
    static ServiceTime exponential(Duration mean) {
        return random -> (long) (random.nextExponential() * mean.toNanos());
    }

    /**
     * Returns service times that are uniform around a mean.
     *
     * @param mean the mean
     * @param spread largest deviation as a fraction of the mean, from 0 to 1
     * @return a bounded distribution
     */
    static ServiceTime uniform(Duration mean, double spread) {
        return random -> (long) (mean.toNanos() * (1 + spread * (2 * random.nextDouble() - 1)));
    }
}
