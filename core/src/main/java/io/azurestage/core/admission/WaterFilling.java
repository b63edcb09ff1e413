package io.azurestage.core.admission;

import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.IntStream;

/** Weighted max-min division of a capacity. */
final class WaterFilling {
    private WaterFilling() {}

    /**
     * Divides a capacity. Nobody gets more than its demand, and whoever gets less than its demand
     * gets no less for its weight than anybody else.
     *
     * @param capacity amount to divide, not negative
     * @param demands demand of each claimant, not negative
     * @param weights weight of each claimant, over 0
     * @return allotment of each claimant
     */
    static double[] divide(double capacity, double[] demands, double[] weights) {
        double[] allotted = new double[demands.length];
        double weightLeft = Arrays.stream(weights).sum();
        double left = capacity;
        int[] order =
                IntStream.range(0, demands.length)
                        .boxed()
                        .sorted(Comparator.comparingDouble(i -> demands[i] / weights[i]))
                        .mapToInt(Integer::intValue)
                        .toArray();
        for (int i : order) {
            double fair = weightLeft <= 0 ? left : left * Math.min(1, weights[i] / weightLeft);
            allotted[i] = Math.max(0, Math.min(demands[i], fair));
            left -= allotted[i];
            weightLeft -= weights[i];
        }
        return allotted;
    }
}
