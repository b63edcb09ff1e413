package io.azurestage.relay.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RetryDelayTest {
    private static final int SEEDS = 200;

    @Nested
    class Outage {
        /** A fixed pause of 100 to 400 ms made 36 calls in nine seconds. */
        @Test
        void ofNineSecondsTakesFewCalls() {
            for (int seed = 0; seed < SEEDS; seed++) {
                RetryDelay delay = new RetryDelay(new SplittableRandom(seed));
                long waited = 0;
                int calls = 0;
                while (waited < 9_000) {
                    waited += delay.next();
                    calls++;
                }
                assertThat(calls).isBetween(7, 15);
            }
        }

        @Test
        void noDelayIsOverTheBoundAndTheFirstIsShort() {
            for (int seed = 0; seed < SEEDS; seed++) {
                RetryDelay delay = new RetryDelay(new SplittableRandom(seed));
                assertThat(delay.next()).isBetween(100L, 200L);
                for (int i = 0; i < 20; i++) {
                    assertThat(delay.next()).isBetween(1L, RetryDelay.LONGEST_MILLIS);
                }
                delay.reset();
                assertThat(delay.next()).isBetween(100L, 200L);
            }
        }
    }
}
