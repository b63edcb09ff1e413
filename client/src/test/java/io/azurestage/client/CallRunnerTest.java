package io.azurestage.client;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class CallRunnerTest {
    private static final List<URI> ENTRIES =
            List.of(URI.create("http://a"), URI.create("http://b"), URI.create("http://c"));

    enum Step {
        WHOLE,
        LOST,
        LOST_AFTER_STREAMING,
        NOT_RUN,
        RAN_UNKNOWN
    }

    /** Transport that gives scripted results in virtual time; each attempt takes 10 ms. */
    private static final class Script {
        private final Deque<Step> mSteps;
        private final Step mTicketStep;
        private final List<AttemptRequest> mSent = new ArrayList<>();
        private final List<URI> mSentTo = new ArrayList<>();
        private final List<Long> mSentAt = new ArrayList<>();
        private int mTickets;
        private int mAttempts;
        private long mNanos;

        Script(Step ticketStep, List<Step> steps) {
            mTicketStep = ticketStep;
            mSteps = new ArrayDeque<>(steps);
        }

        CompletableFuture<AttemptResult> send(URI entry, AttemptRequest request, Duration timeout) {
            mAttempts++;
            mNanos += Duration.ofMillis(10).toNanos();
            if (request.path().startsWith("/azurestage/v1/tickets")) {
                return CompletableFuture.completedFuture(ticket());
            }
            mSent.add(request);
            mSentTo.add(entry);
            mSentAt.add(mNanos);
            Step step = mSteps.isEmpty() ? Step.LOST : mSteps.removeFirst();
            return CompletableFuture.completedFuture(answer(step));
        }

        private AttemptResult ticket() {
            mTickets++;
            return mTicketStep == Step.WHOLE
                    ? complete(200, "application/json", "{\"ticket\":\"t" + mTickets + "\"}")
                    : answer(mTicketStep);
        }

        private static AttemptResult answer(Step step) {
            return switch (step) {
                case WHOLE -> complete(200, "text/plain", "ok");
                case LOST -> new AttemptResult.Lost("connection closed", true);
                case LOST_AFTER_STREAMING -> new AttemptResult.Lost("connection closed", false);
                case NOT_RUN -> refusal("not-run");
                case RAN_UNKNOWN -> refusal("unknown");
            };
        }

        private static AttemptResult refusal(String ran) {
            String json =
                    "{\"type\":\"urn:azurestage:refusal:overloaded\",\"ran\":\""
                            + ran
                            + "\",\"retryAfterMs\":200,\"requestId\":\"r\"}";
            return complete(503, "application/problem+json", json);
        }

        private static AttemptResult complete(int status, String type, String body) {
            return new AttemptResult.Complete(
                    status,
                    Map.of("content-type", List.of(type)),
                    body.getBytes(StandardCharsets.UTF_8),
                    0);
        }

        CallResult run(int attempts, int refusalRetries, String method) {
            CallRunner.Services services =
                    new CallRunner.Services(
                            this::send,
                            new EntrySelector(ENTRIES, new Random(1)),
                            (delay, task) -> {
                                mNanos += delay.toNanos();
                                task.run();
                            },
                            new RetryLimits(attempts, refusalRetries),
                            () -> mNanos,
                            new Random(1),
                            Map.of());
            CompletableFuture<CallResult> result =
                    new Call("s", spec -> new CallRunner(spec, services).run())
                            .request(method, "/x")
                            .deadline(Duration.ofSeconds(1))
                            .send();
            assertThat(result).isCompleted();
            return result.join();
        }
    }

    /** Guards against retry storms, duplicate runs and attempts before the retry-after time. */
    @Group
    class ForAnyFaults {
        @Property(seed = "21", tries = 500)
        void retriesAreBoundedAndSafe(
                @ForAll @Size(max = 8) List<Step> steps,
                @ForAll @IntRange(min = 1, max = 5) int attempts,
                @ForAll @IntRange(min = 0, max = 3) int refusalRetries,
                @ForAll boolean idempotent) {
            Script script = new Script(Step.WHOLE, steps);
            CallResult result = script.run(attempts, refusalRetries, idempotent ? "GET" : "POST");

            assertThat(script.mSent).hasSizeLessThanOrEqualTo(attempts);
            if (result instanceof CallResult.Whole) {
                assertThat(steps.get(script.mSent.size() - 1)).isEqualTo(Step.WHOLE);
            }
            int refusals = 0;
            for (int i = 1; i < script.mSent.size(); i++) {
                Step before = steps.size() >= i ? steps.get(i - 1) : Step.LOST;
                assertThat(before).isIn(Step.LOST, Step.NOT_RUN);
                String ticket = script.mSent.get(i).headers().get("Idempotency-Key");
                String earlier = script.mSent.get(i - 1).headers().get("Idempotency-Key");
                if (before == Step.LOST) {
                    assertThat(ticket).isEqualTo(earlier);
                    continue;
                }
                refusals++;
                assertThat(script.mSentAt.get(i) - script.mSentAt.get(i - 1))
                        .isGreaterThanOrEqualTo(Duration.ofMillis(200).toNanos());
                if (!idempotent) {
                    assertThat(ticket).isNotEqualTo(earlier);
                }
            }
            assertThat(refusals).isLessThanOrEqualTo(refusalRetries);
            int distinct = new HashSet<>(script.mSentTo).size();
            assertThat(distinct).isEqualTo(Math.min(3, script.mSent.size()));
        }

        /** Guards against a non-idempotent call that is sent without a ticket. */
        @Property(seed = "22", tries = 20)
        void withoutTicketNothingIsSent(@ForAll @IntRange(min = 1, max = 5) int attempts) {
            for (Step step : List.of(Step.LOST, Step.NOT_RUN, Step.RAN_UNKNOWN)) {
                Script script = new Script(step, List.of(Step.WHOLE));
                CallResult result = script.run(attempts, 0, "POST");
                assertThat(script.mSent).isEmpty();
                assertThat(script.mAttempts).isLessThanOrEqualTo(attempts);
                assertThat(result).isInstanceOf(CallResult.Refused.class);
            }
        }
    }
}
