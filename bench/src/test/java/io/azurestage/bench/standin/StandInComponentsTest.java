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
        ledger.arrived(service, key);
        ledger.started(service, key);
        ledger.worked(service, key, nanos);
    }

    @Nested
    class Ledger {
        private final WorkLedger mLedger = new WorkLedger();

        /** Guards against counting the needed work of a whole request as wasted. */
        @Test
        void wholeRequestWastesNothing() {
            run(mLedger, "a", key("r", 0), 10);
            run(mLedger, "b", key("r", 0), 30);
            WorkLedger.Summary sum = mLedger.summary(Set.of("r.0"));
            assertThat(sum).isEqualTo(new WorkLedger.Summary(40, 0, 2, 0, 0));
        }

        /** Guards against hiding the work of failed requests. */
        @Test
        void failedRequestWastesAll() {
            run(mLedger, "a", key("r", 0), 10);
            run(mLedger, "a", key("s", 0), 30);
            assertThat(mLedger.summary(Set.of("r.0")).wastedRatio()).isEqualTo(0.75);
        }

        /** Guards against hiding the second execution of a request that became whole. */
        @Test
        void executionsBeyondTheFirstAreWastedAndDuplicated() {
            run(mLedger, "a", key("r", 0), 10);
            run(mLedger, "a", key("r", 0), 10);
            WorkLedger.Summary sum = mLedger.summary(Set.of("r.0"));
            assertThat(sum).isEqualTo(new WorkLedger.Summary(20, 10, 2, 1, 1));
        }

        /** Guards against counting a caller's own repeat as a retry of the system. */
        @Test
        void repeatOfTheCallerIsNoRetryButMayDuplicate() {
            run(mLedger, "a", key("r", 0), 10);
            run(mLedger, "a", key("r", 1), 10);
            WorkLedger.Summary sum = mLedger.summary(Set.of("r.1"));
            assertThat(sum.maxRetries()).isZero();
            assertThat(sum.duplicated()).isEqualTo(1);
        }

        /** Guards against counting retries only where they ran. */
        @Test
        void refusedAttemptsCountAsRetriesOverTheChain() {
            for (String service : List.of("a", "b", "b", "b", "c", "c")) {
                mLedger.arrived(service, key("r", 0));
            }
            assertThat(mLedger.summary(Set.of()).maxRetries()).isEqualTo(3);
        }
    }

    @Group
    class Slots {
        /** Guards against more work than slots, lost work, and a queue that is not FIFO. */
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
                    boolean taken = queue.submit(() -> started.add(number));
                    assertThat(taken).isEqualTo(inSystem < slots + bound);
                    accepted += taken ? 1 : 0;
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
        private final byte[] mWhole =
                Echo.answer(
                        "a",
                        key("r", 0),
                        mPayload,
                        List.of(Echo.answer("b", key("r", 0), mPayload, List.of())));

        /** Guards against accepting an answer that was cut at any byte. */
        @Test
        void onlyTheFullAnswerIsWhole() {
            for (int i = 0; i < mWhole.length; i++) {
                String cut = new String(mWhole, 0, i, StandardCharsets.UTF_8);
                assertThat(check(cut.getBytes(StandardCharsets.UTF_8)))
                        .isEqualTo(Echo.Check.PARTIAL);
            }
            assertThat(check(mWhole)).isEqualTo(Echo.Check.WHOLE);
        }

        /** Guards against accepting an answer in which one level served another request. */
        @Test
        void foreignLevelIsMisdelivered() {
            byte[] inner = Echo.answer("b", key("s", 0), mPayload, List.of());
            assertThat(check(Echo.answer("a", key("r", 0), mPayload, List.of(inner))))
                    .isEqualTo(Echo.Check.MISDELIVERED);
            byte[] other = Echo.answer("b", key("r", 0), new byte[] {3}, List.of());
            assertThat(check(Echo.answer("a", key("r", 0), mPayload, List.of(other))))
                    .isEqualTo(Echo.Check.MISDELIVERED);
        }

        private Echo.Check check(byte[] answer) {
            return Echo.check(answer, mChain, key("r", 0), mPayload);
        }
    }

    /** Guards against a retry budget that lets a long failure double the load. */
    @Property(seed = "42", tries = 50)
    void budgetBoundsRetries(@ForAll @IntRange(min = 1, max = 2000) int calls) {
        RetryBudget budget = new RetryBudget(0.1);
        int retries = 0;
        for (int i = 0; i < calls; i++) {
            budget.called();
            retries += budget.tryRetry() ? 1 : 0;
        }
        assertThat(retries).isLessThanOrEqualTo(10 + calls / 10 + 1);
    }
}
