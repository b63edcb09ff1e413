package io.azurestage.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.config.WorkClass;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class OverloadTest {
    private static final int[] SLOTS = {13, 30, 130};
    private static final double[] LOADS = {2, 5, 10};

    @Group
    class SurgeGoals {
        // Guards against low goodput, wasted work, refused critical work and slow recovery, at each
        // load and size that the goals name, with short and with long service times.
        @Property(seed = "41", generation = GenerationMode.EXHAUSTIVE)
        void areMet(@ForAll @IntRange(max = 8) int size, @ForAll boolean shortService) {
            checkGoals(size, shortService ? 10 : 50);
        }
    }

    /** Checks the goals for one of the 9 combinations of size and load. */
    static void checkGoals(int size, double serviceMillis) {
        SurgeScenario surge =
                new SurgeScenario(
                        SLOTS[size / 3],
                        serviceMillis,
                        LOADS[size % 3],
                        AdmissionParameters.DEFAULT,
                        1);
        SurgeScenario.Figures f = surge.run(size + 1);
        assertThat(f.servedRatio()).as("served by %s", surge).isGreaterThanOrEqualTo(0.97);
        assertThat(f.wastedRatio()).as("wasted by %s", surge).isLessThanOrEqualTo(0.01);
        assertThat(f.criticalRatio()).as("critical of %s", surge).isGreaterThanOrEqualTo(0.999);
        assertThat(f.recoveryMillis()).as("recovery of %s", surge).isBetween(0.0, 500.0);
        assertThat(f.goodputRecoveryMillis()).as("goodput after %s", surge).isBetween(0.0, 500.0);
    }

    @Group
    class Shares {
        // Guards against a surge of one partner that uses up the share of another.
        @Example
        void surgeOfOnePartnerKeepsGoodputOfOthers() {
            ServerSimulation sim = simulation(1);
            sim.add("a", WorkClass.NORMAL, t -> t < 2 ? 260 : 2600);
            sim.add("b", WorkClass.NORMAL, t -> 80);
            sim.run(6);
            assertThat(goodputRatio(sim, "b", 2, 5)).isGreaterThanOrEqualTo(0.99);
        }

        // Guards against a lender that gets its lent share back too late.
        @Example
        void lentShareIsReturnedWithin300Milliseconds() {
            ServerSimulation sim = simulation(2);
            sim.add("a", WorkClass.NORMAL, t -> 2600);
            sim.add("b", WorkClass.NORMAL, t -> t < 3 ? 0 : 90);
            sim.run(6);
            assertThat(goodputRatio(sim, "b", 3.3, 5)).isGreaterThanOrEqualTo(0.99);
            assertThat(sim.mLoanChanges).anyMatch(c -> c.startsWith("b>a NORMAL"));
            assertThat(goodputRatio(sim, "a", 3.3, 5)).isBetween(0.05, 0.1);
        }

        // Guards against fractions that oscillate between admitting all work and almost none.
        @Example
        void fractionsDoNotOscillateUnderConstantOverload() {
            ServerSimulation sim =
                    new ServerSimulation(130, SurgeScenario.CONFIG, AdmissionParameters.DEFAULT, 3);
            sim.mServiceNanos = (t, n) -> 10 * ServerSimulation.NANOS_PER_MILLI;
            sim.add("a", WorkClass.NORMAL, t -> 65_000);
            double[] range = {1, 0};
            sim.mOnTick =
                    () -> {
                        double f =
                                sim.mController
                                        .fractions()
                                        .getOrDefault(new PartnerClass("a", WorkClass.NORMAL), 1.0);
                        if (sim.now() > 1e9) {
                            range[0] = Math.min(range[0], f);
                            range[1] = Math.max(range[1], f);
                        }
                    };
            sim.run(4);
            assertThat(range[0]).isGreaterThan(0.2 * 0.8);
            assertThat(range[1]).isLessThan(0.2 * 1.2);
        }

        /** Returns a simulation of a server with 13 slots that serves 260 requests per second. */
        private static ServerSimulation simulation(long seed) {
            ServerSimulation sim =
                    new ServerSimulation(
                            13, SurgeScenario.CONFIG, AdmissionParameters.DEFAULT, seed);
            sim.mServiceNanos =
                    (t, n) ->
                            sim.exponential(25 * ServerSimulation.NANOS_PER_MILLI)
                                    + 25 * ServerSimulation.NANOS_PER_MILLI;
            return sim;
        }

        private static double goodputRatio(
                ServerSimulation sim, String partner, double from, double to) {
            List<ServerSimulation.Request> all =
                    sim.arrived(WorkClass.NORMAL, from, to).stream()
                            .filter(r -> r.mStream.partner().equals(partner))
                            .toList();
            return all.stream().filter(ServerSimulation.Request::isInTime).count()
                    / (double) all.size();
        }
    }
}
