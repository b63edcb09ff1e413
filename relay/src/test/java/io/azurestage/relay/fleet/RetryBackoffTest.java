package io.azurestage.relay.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RetryBackoffTest {
    private static final int SEEDS = 200;

    @Nested
    class Outage {
        /** With a fixed backoff of 100 to 400 ms there were 36 requests in nine seconds. */
        @Test
        void ofNineSecondsTakesFewRequests() {
            for (int seed = 0; seed < SEEDS; seed++) {
                RetryBackoff backoff = new RetryBackoff(new SplittableRandom(seed));
                long elapsedMillis = 0;
                int requests = 0;
                while (elapsedMillis < 9_000) {
                    elapsedMillis += backoff.nextDelayMillis();
                    requests++;
                }
                assertThat(requests).isBetween(7, 15);
            }
        }

        @Test
        void noDelayExceedsTheMaximumAndTheFirstIsShort() {
            for (int seed = 0; seed < SEEDS; seed++) {
                RetryBackoff backoff = new RetryBackoff(new SplittableRandom(seed));
                assertThat(backoff.nextDelayMillis()).isBetween(100L, 200L);
                for (int i = 0; i < 20; i++) {
                    assertThat(backoff.nextDelayMillis())
                            .isBetween(1L, RetryBackoff.MAX_DELAY_MILLIS);
                }
                backoff.reset();
                assertThat(backoff.nextDelayMillis()).isBetween(100L, 200L);
            }
        }
    }
}
