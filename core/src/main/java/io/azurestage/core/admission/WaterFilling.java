package io.azurestage.core.admission;

import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.IntStream;

/** Weighted max-min fair allocation of a capacity by water-filling. */
final class WaterFilling {
    private WaterFilling() {}

    /**
     * Allocates a capacity. No claimant gets more than its demand, and a claimant that gets less
     * than its demand gets at least as much per weight as any other.
     *
     * @param capacity amount to allocate, not negative
     * @param demands demand of each claimant, not negative
     * @param weights weight of each claimant, over 0
     * @return amount allocated to each claimant
     */
    static double[] allocate(double capacity, double[] demands, double[] weights) {
        double[] allocated = new double[demands.length];
        double remainingWeight = Arrays.stream(weights).sum();
        double remaining = capacity;
        int[] order =
                IntStream.range(0, demands.length)
                        .boxed()
                        .sorted(Comparator.comparingDouble(i -> demands[i] / weights[i]))
                        .mapToInt(Integer::intValue)
                        .toArray();
        for (int i : order) {
            double fairAmount =
                    remainingWeight <= 0
                            ? remaining
                            : remaining * Math.min(1, weights[i] / remainingWeight);
            allocated[i] = Math.max(0, Math.min(demands[i], fairAmount));
            remaining -= allocated[i];
            remainingWeight -= weights[i];
        }
        return allocated;
    }
}
