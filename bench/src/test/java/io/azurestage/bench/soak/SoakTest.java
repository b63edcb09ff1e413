package io.azurestage.bench.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Short soaks with fixed seeds; {@code bin/bench soak} runs longer ones. */
class SoakTest {
    private static final int NODES = 4;
    private static final int REQUESTS_PER_SECOND = 40;
    private static final Duration LENGTH = Duration.ofSeconds(20);

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void noRuleIsViolated(long seed) {
        assertViolatesNothing(new Soak(seed, NODES, LENGTH, REQUESTS_PER_SECOND, false));
    }

    @ParameterizedTest
    @ValueSource(longs = {3, 4})
    void noRuleIsViolatedWhileTheStoreHasFaults(long seed) {
        assertViolatesNothing(new Soak(seed, NODES, LENGTH, REQUESTS_PER_SECOND, true));
    }

    private static void assertViolatesNothing(Soak soak) {
        assertThat(soak.run().violations()).isEmpty();
    }
}
