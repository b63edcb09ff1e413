package io.azurestage.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.time.ManualTimeSource;
import java.time.Duration;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Checks how fast the fault rate rises and decays when a server fails part of its requests. */
class FaultRateTest {
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final FaultRate mRate = new FaultRate(mTime);

    private void endRequests(int requests, int failedPerTen) {
        for (int i = 0; i < requests; i++) {
            mTime.advance(Duration.ofMillis(10));
            mRate.ended(i % 10 < failedPerTen);
        }
    }

    @Nested
    class WhileRequestsFail {
        @Test
        void fewFailuresBarelyRaiseTheRate() {
            mRate.ended(true);
            mRate.ended(true);
            assertThat(mRate.rate()).isLessThan(0.2);
        }

        @Test
        void rateApproachesHalfWithinSeconds() {
            endRequests(1_000, 0);
            endRequests(100, 5);
            assertThat(mRate.rate()).isGreaterThan(0.2);
            endRequests(200, 5);
            assertThat(mRate.rate()).isCloseTo(0.45, Assertions.offset(0.08));
        }
    }

    @Nested
    class WithoutRequests {
        @Test
        void rateDecaysWithoutRequests() {
            endRequests(1_000, 5);
            mTime.advance(Duration.ofSeconds(8));
            assertThat(mRate.rate()).isLessThan(0.05);
        }
    }
}
