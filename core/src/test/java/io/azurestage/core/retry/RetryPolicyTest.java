package io.azurestage.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.retry.RetryDecision.GiveUp;
import io.azurestage.core.retry.RetryDecision.RetrySameOwner;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

class RetryPolicyTest {
    private static final String ELSEWHERE = "RetryElsewhere";
    private static final String SAME = "RetrySameOwner";

    /**
     * Expected decisions for a plain, an idempotent and a ticketed request that have time and
     * retries left.
     */
    private static final Map<AttemptOutcome, List<String>> EXPECTED = new LinkedHashMap<>();

    static {
        expect(new AttemptOutcome.RefusedNotRun(), ELSEWHERE, ELSEWHERE, "TICKET_SEALED");
        expect(shedding(), "SHEDDING", "SHEDDING", "SHEDDING");
        expect(new AttemptOutcome.Draining(), ELSEWHERE, ELSEWHERE, "TICKET_SEALED");
        expect(new AttemptOutcome.ConnectFailed(), ELSEWHERE, ELSEWHERE, SAME);
        expect(new AttemptOutcome.LostAnswer(), "MAY_HAVE_RUN", ELSEWHERE, SAME);
        expect(new AttemptOutcome.BrokenAnswer(), "MAY_HAVE_RUN", ELSEWHERE, SAME);
        expect(new AttemptOutcome.ServerError(), "MAY_HAVE_RUN", ELSEWHERE, "SAME_ANSWER");
    }

    // Guards against a second run of a request that is not idempotent, a ticket that is sent to
    // another node than its owner, and retries while the service sheds load.
    @Example
    void decidesEveryOutcomeForEveryKindOfRequest() {
        assertThat(EXPECTED).hasSize(AttemptOutcome.class.getPermittedSubclasses().length);
        EXPECTED.forEach(
                (o, names) -> {
                    for (int kind = 0; kind < 3; kind++) {
                        RetryDecision d = decide(o, kind, 0, 251, 1, 1);
                        assertThat(name(d)).as("%s, %d", o, kind).isEqualTo(names.get(kind));
                    }
                });
    }

    // Guards against retries past the deadline or beyond the allowance, unbounded delays, and
    // giving up although more time than the longest delay is left.
    @Property(seed = "32", tries = 5000)
    void retriesStartBeforeTheDeadlineAndWithinTheAllowance(
            @ForAll @IntRange(max = 6) int outcome,
            @ForAll @IntRange(max = 2) int kind,
            @ForAll @IntRange int retries,
            @ForAll @LongRange(min = -1000, max = 1000) long remaining,
            @ForAll @IntRange(min = -1, max = 3) int allowance,
            @ForAll long seed) {
        AttemptOutcome o = List.copyOf(EXPECTED.keySet()).get(outcome);
        RetryDecision d = decide(o, kind, retries, remaining, allowance, seed);
        if (d instanceof GiveUp) {
            boolean allowed = EXPECTED.get(o).get(kind).startsWith("Retry");
            assertThat(allowed && allowance > 0 && remaining > 250).isFalse();
            return;
        }
        Duration delay =
                d instanceof RetrySameOwner s
                        ? s.delay()
                        : ((RetryDecision.RetryElsewhere) d).delay();
        assertThat(allowance).isPositive();
        assertThat(delay).isLessThan(Duration.ofMillis(remaining));
        assertThat(delay).isBetween(Duration.ZERO, RetryPolicy.defaults().cap());
        assertThat(name(d)).isEqualTo(EXPECTED.get(o).get(kind));
    }

    private static RetryDecision decide(
            AttemptOutcome o, int kind, int retries, long remaining, int allowance, long seed) {
        Duration left = Duration.ofMillis(remaining);
        Attempt a = new Attempt(o, kind == 1, kind == 2, retries, left, allowance);
        return RetryPolicy.defaults().decide(a, new Random(seed));
    }

    private static AttemptOutcome shedding() {
        return new AttemptOutcome.RefusedOverloaded(Duration.ofSeconds(1));
    }

    private static void expect(AttemptOutcome o, String... names) {
        EXPECTED.put(o, List.of(names));
    }

    private static String name(RetryDecision d) {
        return d instanceof GiveUp g ? g.reason().name() : d.getClass().getSimpleName();
    }
}
