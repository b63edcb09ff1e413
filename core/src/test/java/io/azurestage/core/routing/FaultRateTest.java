package io.azurestage.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.time.ManualTimeSource;
import java.time.Duration;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A server that fails nearly half of its requests for some seconds, and what is said of it. */
class FaultRateTest {
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final FaultRate mRate = new FaultRate(mTime);

    private void play(int requests, int failedOfTen) {
        for (int i = 0; i < requests; i++) {
            mTime.advance(Duration.ofMillis(10));
            mRate.ended(i % 10 < failedOfTen);
        }
    }

    @Nested
    class Rising {
        @Test
        void aFewFailuresSayLittle() {
            mRate.ended(true);
            mRate.ended(true);
            assertThat(mRate.rate()).isLessThan(0.2);
        }

        @Test
        void halfOfTheWorkIsSeenWithinASecond() {
            play(1_000, 0);
            play(100, 5);
            assertThat(mRate.rate()).isGreaterThan(0.2);
            play(200, 5);
            assertThat(mRate.rate()).isCloseTo(0.45, Assertions.offset(0.08));
        }
    }

    @Nested
    class Falling {
        @Test
        void withoutWorkItIsForgotten() {
            play(1_000, 5);
            mTime.advance(Duration.ofSeconds(8));
            assertThat(mRate.rate()).isLessThan(0.05);
        }
    }
}
