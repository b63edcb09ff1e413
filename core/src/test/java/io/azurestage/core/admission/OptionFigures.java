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
    @Test
    void seeds() {
        for (int entries : new int[] {0, 1, 8}) {
            for (int slots : new int[] {13, 30, 130}) {
                for (double millis : new double[] {10, 50, 200}) {
                    List<Surge.Figures> all = new ArrayList<>();
                    for (double load : new double[] {2, 5, 10}) {
                        for (int seed = 1; seed <= (slots == 130 ? 4 : 10); seed++) {
                            Tuning t = Tuning.DEFAULT;
                            all.add(new Surge(slots, millis, load, t, entries).run(seed));
                        }
                    }
                    print(entries + " entries, " + slots + " slots, " + millis + " ms:", all);
                }
            }
        }
    }

    @Test
    void targets() {
        for (QueueOrder order : QueueOrder.values()) {
            for (double serviceTimes : new double[] {1, 2, 3}) {
                for (int millis : new int[] {20, 50}) {
                    for (int horizon : new int[] {500, 2000}) {
                        Tuning t =
                                new Tuning(
                                        true,
                                        order,
                                        Duration.ofMillis(millis),
                                        serviceTimes,
                                        Duration.ofMillis(horizon));
                        print(order + " " + serviceTimes + "S/" + millis + "/" + horizon, t);
                    }
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

    /** Runs the sizes and loads of the goals. */
    private static void print(String label, Tuning t) {
        List<Surge.Figures> all = new ArrayList<>();
        for (int slots : new int[] {13, 30, 130}) {
            for (double millis : new double[] {10, 50, 200}) {
                for (double load : new double[] {2, 5, 10}) {
                    all.add(new Surge(slots, millis, load, t, 1).run(1));
                }
            }
        }
        print(label, all);
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
        return String.format(
                "%s %.4f [%.4f, %.4f] missed %d/%d",
                name,
                Arrays.stream(v).average().orElse(0),
                v[0],
                v[v.length - 1],
                missed,
                v.length);
    }
}
