package io.azurestage.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;

/**
 * Prints the figures of the options side by side. The name keeps it out of the ordinary build; run
 * it with {@code -Dtest=OptionFigures}.
 */
class OptionFigures {
    private static final int[] SLOTS = {13, 30, 130};
    private static final double[] MILLIS = {10, 50, 200};

    @Test
    void seeds() {
        for (int entries : new int[] {0, 1, 8}) {
            for (int slots : SLOTS) {
                for (double millis : MILLIS) {
                    String label = entries + " entries, " + slots + " slots, " + millis + " ms:";
                    print(label, runs(slots, millis, Tuning.DEFAULT, entries, 10));
                }
            }
        }
    }

    @Test
    void targets() {
        Duration horizon = Tuning.DEFAULT.horizon();
        for (QueueOrder order : QueueOrder.values()) {
            for (int times = 1; times <= 3; times++) {
                for (int millis : new int[] {20, 50, 100}) {
                    Duration target = Duration.ofMillis(millis);
                    Tuning t = new Tuning(true, order, target, times, horizon);
                    List<Surge.Figures> all = new ArrayList<>();
                    for (int slots : SLOTS) {
                        for (double service : MILLIS) {
                            all.addAll(runs(slots, service, t, 1, 3));
                        }
                    }
                    print(order + " " + times + " S, " + millis + " ms:", all);
                }
            }
        }
    }

    @Test
    void limits() {
        for (boolean adaptive : new boolean[] {false, true}) {
            for (ServerModel m : ServerModel.values()) {
                for (int slots : new int[] {13, 130}) {
                    String limit = adaptive ? "gradient " : "fixed ";
                    System.out.println(limit + m + " " + slots + " " + m.run(slots, adaptive, 1));
                }
            }
        }
    }

    private static List<Surge.Figures> runs(
            int slots, double millis, Tuning t, int entries, int seeds) {
        List<Surge.Figures> all = new ArrayList<>();
        for (double load : new double[] {2, 5, 10}) {
            for (int seed = 1; seed <= seeds; seed++) {
                all.add(new Surge(slots, millis, load, t, entries).run(seed));
            }
        }
        return all;
    }

    private static void print(String label, List<Surge.Figures> all) {
        System.out.println(
                label
                        + line(" served", all, Surge.Figures::served, 0.97, 9)
                        + line(" wasted", all, Surge.Figures::wasted, 0, 0.01)
                        + line(" critical", all, Surge.Figures::critical, 0.999, 1)
                        + line(" recovery", all, Surge.Figures::recoveryMillis, 0, 500)
                        + line(" goodput", all, Surge.Figures::afterMillis, 0, 500)
                        + line(" shed", all, Surge.Figures::shedLate, 0, 1e9));
    }

    private static String line(
            String name,
            List<Surge.Figures> all,
            ToDoubleFunction<Surge.Figures> value,
            double from,
            double to) {
        double[] v = all.stream().mapToDouble(value).sorted().toArray();
        long missed = Arrays.stream(v).filter(x -> !(x >= from && x <= to)).count();
        String range = String.format("[%.4f, %.4f]", v[0], v[v.length - 1]);
        double mean = Arrays.stream(v).average().orElse(0);
        return String.format("%s %.4f %s missed %d/%d", name, mean, range, missed, v.length);
    }
}
