package io.azurestage.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Prints the figures of the options side by side. The name keeps it out of the ordinary build; run
 * it with {@code -Dtest=OptionFigures}.
 */
class OptionFigures {
    @Test
    void surges() {
        for (int slots : new int[] {13, 130}) {
            for (double millis : new double[] {10, 50, 200}) {
                for (double load : new double[] {2, 5, 10}) {
                    for (boolean entry : new boolean[] {true, false}) {
                        Surge s = new Surge(slots, millis, load, Tuning.DEFAULT, entry);
                        System.out.println(s + " " + s.run(1));
                    }
                }
            }
        }
    }

    @Test
    void targets() {
        for (QueueOrder order : QueueOrder.values()) {
            for (double serviceTimes : new double[] {1, 2}) {
                for (int millis : new int[] {20, 50, 100}) {
                    for (int horizon : new int[] {500, 10000}) {
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

    /** Prints the mean and the worst figures over the sizes and loads of the goals. */
    private static void print(String label, Tuning t) {
        List<Surge.Figures> all = new ArrayList<>();
        for (int slots : new int[] {13, 30, 130}) {
            for (double millis : new double[] {10, 50, 200}) {
                for (double load : new double[] {2, 5, 10}) {
                    all.add(new Surge(slots, millis, load, t, true).run(1));
                }
            }
        }
        System.out.printf(
                "%-20s served %.3f (least %.3f) wasted %.4f critical %.4f (least %.4f)"
                        + " recovery %.0f (most %.0f) shed %.3f (most %.3f)%n",
                label,
                all.stream().mapToDouble(Surge.Figures::served).average().orElse(0),
                all.stream().mapToDouble(Surge.Figures::served).min().orElse(0),
                all.stream().mapToDouble(Surge.Figures::wasted).max().orElse(0),
                all.stream().mapToDouble(Surge.Figures::critical).average().orElse(0),
                all.stream().mapToDouble(Surge.Figures::critical).min().orElse(0),
                all.stream().mapToDouble(Surge.Figures::recoveryMillis).average().orElse(0),
                all.stream().mapToDouble(Surge.Figures::recoveryMillis).max().orElse(0),
                all.stream().mapToDouble(Surge.Figures::shedLate).average().orElse(0),
                all.stream().mapToDouble(Surge.Figures::shedLate).max().orElse(0));
    }
}
