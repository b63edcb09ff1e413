package io.azurestage.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.config.WorkClass;
import io.azurestage.core.admission.ChainSimulation.ChainRequest;
import io.azurestage.core.admission.ChainSimulation.RequestType;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DeepChainTest {

    /**
     * Load pattern: two of the three servers of the deepest service have left during a surge of its
     * callers, and the remaining one is slow. Orders need half of its capacity. Checks need five
     * times the other half, and each makes five sequential calls within 800 ms.
     */
    @Nested
    class SingleSlowServer {
        private static final int SLOTS = 30;
        private static final double SERVICE_MILLIS = 50;
        private static final int CALLS_PER_REQUEST = 5;
        private static final double FROM_SECONDS = 4;
        private static final double TO_SECONDS = 20;

        private final RequestType mOrders =
                new RequestType(
                        WorkClass.CRITICAL,
                        60,
                        CALLS_PER_REQUEST,
                        Duration.ofMillis(200),
                        Duration.ofMillis(1_000));
        private final RequestType mChecks =
                new RequestType(
                        WorkClass.BROWSING,
                        300,
                        CALLS_PER_REQUEST,
                        Duration.ofMillis(300),
                        Duration.ofMillis(800));

        private ChainSimulation simulate(long seed) {
            ChainSimulation sim =
                    new ChainSimulation(SLOTS, Duration.ofMillis((long) SERVICE_MILLIS), seed);
            sim.add(mOrders);
            sim.add(mChecks);
            sim.run(Duration.ofSeconds((long) TO_SECONDS + 2));
            return sim;
        }

        private static double servedRatio(List<ChainRequest> chains) {
            return chains.stream().filter(c -> c.mServed).count() / (double) chains.size();
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void criticalOrdersAreServed(long seed) {
            assertThat(
                            servedRatio(
                                    simulate(seed)
                                            .admitted(
                                                    WorkClass.CRITICAL, FROM_SECONDS, TO_SECONDS)))
                    .isGreaterThan(0.97);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void admittedChecksAreServed(long seed) {
            assertThat(
                            servedRatio(
                                    simulate(seed)
                                            .admitted(
                                                    WorkClass.BROWSING, FROM_SECONDS, TO_SECONDS)))
                    .isGreaterThan(0.8);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void checksUseTheRemainingCapacity(long seed) {
            List<ChainRequest> checks =
                    simulate(seed).admitted(WorkClass.BROWSING, FROM_SECONDS, TO_SECONDS);
            double servedPerSecond =
                    servedRatio(checks) * checks.size() / (TO_SECONDS - FROM_SECONDS);
            double remainingPerSecond =
                    SLOTS / (SERVICE_MILLIS / 1e3) / CALLS_PER_REQUEST - mOrders.perSecond();
            assertThat(servedPerSecond / remainingPerSecond).isGreaterThan(0.7);
        }
    }
}
