package io.azurestage.bench.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StandInComponentsTest {
    private static RequestKey key(String id, int attempt) {
        return new RequestKey(id, attempt, "p", "CRITICAL");
    }

    private static void run(WorkLedger ledger, String service, RequestKey key, long nanos) {
        ledger.recordArrival(service, key);
        ledger.recordStart(service, key);
        ledger.recordWork(service, key, nanos);
    }

    @Nested
    class Ledger {
        private final WorkLedger mLedger = new WorkLedger();

        /** Guards against counting the necessary work of a completed request as wasted. */
        @Test
        void completedRequestWastesNothing() {
            run(mLedger, "a", key("r", 0), 10);
            run(mLedger, "b", key("r", 0), 30);
            WorkLedger.Summary sum = mLedger.summary(Set.of("r.0"));
            assertThat(sum).isEqualTo(new WorkLedger.Summary(40, 0, 2, 0, 0));
        }

        /** Guards against omitting the work of failed requests from the wasted work. */
        @Test
        void failedRequestWastesAllItsWork() {
            run(mLedger, "a", key("r", 0), 10);
            run(mLedger, "a", key("s", 0), 30);
            assertThat(mLedger.summary(Set.of("r.0")).wastedRatio()).isEqualTo(0.75);
        }

        /** Guards against omitting repeated executions of a completed request. */
        @Test
        void repeatedExecutionsAreWastedAndDuplicated() {
            run(mLedger, "a", key("r", 0), 10);
            run(mLedger, "a", key("r", 0), 10);
            WorkLedger.Summary sum = mLedger.summary(Set.of("r.0"));
            assertThat(sum).isEqualTo(new WorkLedger.Summary(20, 10, 2, 1, 1));
        }

        /** Guards against counting the caller's own second attempt as a retry inside the chain. */
        @Test
        void secondAttemptOfTheCallerIsNoRetryButMayDuplicate() {
            run(mLedger, "a", key("r", 0), 10);
            run(mLedger, "a", key("r", 1), 10);
            WorkLedger.Summary sum = mLedger.summary(Set.of("r.1"));
            assertThat(sum.maxRetries()).isZero();
            assertThat(sum.duplicated()).isEqualTo(1);
        }

        /** Guards against counting only retries that were executed; refused ones count too. */
        @Test
        void refusedAttemptsCountAsRetriesOverTheChain() {
            for (String service : List.of("a", "b", "b", "b", "c", "c")) {
                mLedger.recordArrival(service, key("r", 0));
            }
            assertThat(mLedger.summary(Set.of()).maxRetries()).isEqualTo(3);
        }
    }

    @Group
    class Slots {
        /** Guards against exceeding the slots, losing queued work, and starting it out of order. */
        @Property(seed = "41", tries = 200)
        void neverExceedsSlotsAndKeepsOrder(
                @ForAll @IntRange(min = 1, max = 4) int slots,
                @ForAll @IntRange(max = 4) int bound,
                @ForAll @Size(max = 60) List<Boolean> steps) {
            SlotQueue queue = new SlotQueue(slots, bound);
            List<Integer> started = new ArrayList<>();
            int accepted = 0;
            int released = 0;
            for (boolean submit : steps) {
                int inSystem = accepted - released;
                if (!submit && started.size() > released) {
                    queue.release();
                    released++;
                } else if (submit) {
                    int number = accepted;
                    boolean wasAccepted = queue.submit(() -> started.add(number));
                    assertThat(wasAccepted).isEqualTo(inSystem < slots + bound);
                    accepted += wasAccepted ? 1 : 0;
                }
                assertThat(queue.busy()).isEqualTo(Math.min(slots, accepted - released));
                assertThat(started).isSorted().hasSize(released + queue.busy());
            }
        }
    }

    @Nested
    class EchoCheck {
        private final List<String> mChain = List.of("a", "b");
        private final byte[] mPayload = {1, 2};
        private final byte[] mComplete =
                Echo.format(
                        "a",
                        key("r", 0),
                        mPayload,
                        List.of(Echo.format("b", key("r", 0), mPayload, List.of())));

        /** Guards against accepting a truncated response, whichever byte it ends at. */
        @Test
        void onlyTheCompleteResponseIsWhole() {
            for (int i = 0; i < mComplete.length; i++) {
                String cut = new String(mComplete, 0, i, StandardCharsets.UTF_8);
                assertThat(check(cut.getBytes(StandardCharsets.UTF_8)))
                        .isEqualTo(Echo.Check.PARTIAL);
            }
            assertThat(check(mComplete)).isEqualTo(Echo.Check.WHOLE);
        }

        /** Guards against accepting a response with a line for another request or payload. */
        @Test
        void lineOfAnotherRequestIsMisdelivered() {
            byte[] inner = Echo.format("b", key("s", 0), mPayload, List.of());
            assertThat(check(Echo.format("a", key("r", 0), mPayload, List.of(inner))))
                    .isEqualTo(Echo.Check.MISDELIVERED);
            byte[] other = Echo.format("b", key("r", 0), new byte[] {3}, List.of());
            assertThat(check(Echo.format("a", key("r", 0), mPayload, List.of(other))))
                    .isEqualTo(Echo.Check.MISDELIVERED);
        }

        private Echo.Check check(byte[] answer) {
            return Echo.check(answer, mChain, key("r", 0), mPayload);
        }
    }

    /** Guards against a retry budget that lets a long outage double the load. */
    @Property(seed = "42", tries = 50)
    void budgetBoundsRetries(@ForAll @IntRange(min = 1, max = 2000) int calls) {
        RetryBudget budget = new RetryBudget(0.1);
        int retries = 0;
        for (int i = 0; i < calls; i++) {
            budget.recordCall();
            retries += budget.tryRetry() ? 1 : 0;
        }
        assertThat(retries).isLessThanOrEqualTo(10 + calls / 10 + 1);
    }
}
