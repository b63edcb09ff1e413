package io.azurestage.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.config.WorkClass;
import io.azurestage.core.admission.ChainSimulation.Chain;
import io.azurestage.core.admission.ChainSimulation.Kind;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DeepChainTest {

    /**
     * Load pattern: two of three servers of the deepest service have left while callers surge, and
     * the one that stays is slow. Orders need half of it; checks ask for five times the rest, and
     * each makes five calls one after the other within 800 ms.
     */
    @Nested
    class OneSlowServerIsLeft {
        private static final int SLOTS = 30;
        private static final double SERVICE_MILLIS = 50;
        private static final int CALLS = 5;
        private static final double FROM = 4;
        private static final double TO = 20;

        private final Kind mOrders =
                new Kind(
                        WorkClass.CRITICAL,
                        60,
                        CALLS,
                        Duration.ofMillis(200),
                        Duration.ofMillis(1_000));
        private final Kind mChecks =
                new Kind(
                        WorkClass.BROWSING,
                        300,
                        CALLS,
                        Duration.ofMillis(300),
                        Duration.ofMillis(800));

        private ChainSimulation play(long seed) {
            ChainSimulation sim =
                    new ChainSimulation(SLOTS, Duration.ofMillis((long) SERVICE_MILLIS), seed);
            sim.add(mOrders);
            sim.add(mChecks);
            sim.run(Duration.ofSeconds((long) TO + 2));
            return sim;
        }

        private static double served(List<Chain> chains) {
            return chains.stream().filter(c -> c.mServed).count() / (double) chains.size();
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void ordersAreServed(long seed) {
            assertThat(served(play(seed).admitted(WorkClass.CRITICAL, FROM, TO)))
                    .isGreaterThan(0.97);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void checksThatAreAdmittedAreServed(long seed) {
            assertThat(served(play(seed).admitted(WorkClass.BROWSING, FROM, TO)))
                    .isGreaterThan(0.8);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void whatOrdersLeaveIsUsedForChecks(long seed) {
            List<Chain> checks = play(seed).admitted(WorkClass.BROWSING, FROM, TO);
            double served = served(checks) * checks.size() / (TO - FROM);
            double room = SLOTS / (SERVICE_MILLIS / 1e3) / CALLS - mOrders.perSecond();
            assertThat(served / room).isGreaterThan(0.7);
        }
    }
}
