package io.azurestage.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.retry.AttemptOutcome.BrokenAnswer;
import io.azurestage.core.retry.AttemptOutcome.ConnectFailed;
import io.azurestage.core.retry.AttemptOutcome.Draining;
import io.azurestage.core.retry.AttemptOutcome.LostAnswer;
import io.azurestage.core.retry.AttemptOutcome.RefusedNotRun;
import io.azurestage.core.retry.AttemptOutcome.RefusedOverloaded;
import io.azurestage.core.retry.AttemptOutcome.ServerError;
import io.azurestage.core.retry.RetryDecision.GiveUp;
import io.azurestage.core.retry.RetryDecision.Reason;
import io.azurestage.core.retry.RetryDecision.RetryElsewhere;
import io.azurestage.core.retry.RetryDecision.RetrySameOwner;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

class RetryPolicyTest {
    private static final List<AttemptOutcome> OUTCOMES =
            List.of(
                    new RefusedNotRun(),
                    new RefusedOverloaded(Duration.ofSeconds(1)),
                    new Draining(),
                    new ConnectFailed(),
                    new LostAnswer(),
                    new BrokenAnswer(),
                    new ServerError());
    private static final String ELSEWHERE = "RetryElsewhere";
    private static final String SAME_OWNER = "RetrySameOwner";

    private final RetryPolicy mPolicy = RetryPolicy.defaults();

    // Guards against a second run, a ticket that leaves its owner, and retries under shedding:
    // every outcome for plain, idempotent and ticketed requests.
    @Example
    void everyOutcomeOfEveryKindOfRequest() {
        Map<Class<?>, List<String>> expected =
                Map.of(
                        RefusedNotRun.class, List.of(ELSEWHERE, ELSEWHERE, "TICKET_SEALED"),
                        RefusedOverloaded.class, List.of("SHEDDING", "SHEDDING", "SHEDDING"),
                        Draining.class, List.of(ELSEWHERE, ELSEWHERE, "TICKET_SEALED"),
                        ConnectFailed.class, List.of(ELSEWHERE, ELSEWHERE, SAME_OWNER),
                        LostAnswer.class, List.of("MAY_HAVE_RUN", ELSEWHERE, SAME_OWNER),
                        BrokenAnswer.class, List.of("MAY_HAVE_RUN", ELSEWHERE, SAME_OWNER),
                        ServerError.class, List.of("MAY_HAVE_RUN", ELSEWHERE, "SAME_ANSWER"));
        for (AttemptOutcome o : OUTCOMES) {
            List<String> actual =
                    List.of(
                            name(decide(o, false, false, 0, 60_000, 1, 1)),
                            name(decide(o, true, false, 0, 60_000, 1, 1)),
                            name(decide(o, false, true, 0, 60_000, 1, 1)));
            assertThat(actual).as(o.toString()).isEqualTo(expected.get(o.getClass()));
        }
    }

    // Guards against retries past the deadline or beyond the allowance, and unbounded delays.
    @Property(seed = "32", tries = 5000)
    void aRetryStartsBeforeTheDeadlineAndWithinTheAllowance(
            @ForAll @IntRange(max = 6) int outcome,
            @ForAll boolean idempotent,
            @ForAll boolean ticketed,
            @ForAll @IntRange int retries,
            @ForAll @LongRange(min = -1000, max = 1000) long remaining,
            @ForAll @IntRange(min = -1, max = 3) int allowance,
            @ForAll long seed) {
        RetryDecision d =
                decide(
                        OUTCOMES.get(outcome),
                        idempotent,
                        ticketed,
                        retries,
                        remaining,
                        allowance,
                        seed);
        if (d instanceof GiveUp) {
            return;
        }
        Duration delay = d instanceof RetryElsewhere e ? e.delay() : ((RetrySameOwner) d).delay();
        assertThat(allowance).isPositive();
        assertThat(delay).isLessThan(Duration.ofMillis(remaining));
        assertThat(delay).isBetween(Duration.ZERO, mPolicy.cap());
        assertThat(d instanceof RetrySameOwner).isEqualTo(ticketed);
    }

    // Guards against retries that are withheld although time and allowance are left.
    @Property(seed = "33", tries = 1000)
    void lostIdempotentWorkIsRetried(@ForAll @IntRange int retries, @ForAll long seed) {
        assertThat(decide(new LostAnswer(), true, false, retries, 251, 1, seed))
                .isInstanceOf(RetryElsewhere.class);
        assertThat(decide(new LostAnswer(), true, false, retries, 0, 1, seed))
                .isEqualTo(new GiveUp(Reason.DEADLINE));
    }

    private RetryDecision decide(
            AttemptOutcome o,
            boolean idempotent,
            boolean ticketed,
            int retries,
            long remainingMillis,
            int allowance,
            long seed) {
        Duration remaining = Duration.ofMillis(remainingMillis);
        return mPolicy.decide(
                new Attempt(o, idempotent, ticketed, retries, remaining, allowance),
                new Random(seed));
    }

    private static String name(RetryDecision d) {
        return d instanceof GiveUp g ? g.reason().name() : d.getClass().getSimpleName();
    }
}
