package io.azurestage.core.calls;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.config.WorkClass;
import io.azurestage.core.admission.ChainKey;
import io.azurestage.core.time.ManualTimeSource;
import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CallAttributionTest {

    /**
     * Load pattern of a ledger service: 30 exports per second, which take 150 ms and make no calls,
     * run beside 100 index requests per second, which make four sequential calls, on average 20 ms
     * apart.
     */
    @Nested
    class SharedServer {
        private final ManualTimeSource mTime = new ManualTimeSource();
        private final CallAttribution mCalls = new CallAttribution(mTime, new SplittableRandom(1));
        private final ChainKey mExport = key("export", WorkClass.BROWSING);
        private final ChainKey mIndex = key("index", WorkClass.BROWSING);
        private final ChainKey mCriticalIndex = key("index", WorkClass.CRITICAL);
        private int mCriticalCalls;
        private int mAttributedCalls;

        private record Step(long atNanos, Runnable action) {}

        private static ChainKey key(String operation, WorkClass c) {
            return new ChainKey("ledger", operation, "p", c);
        }

        private void simulate(int seconds) {
            Random random = new Random(5);
            PriorityQueue<Step> steps =
                    new PriorityQueue<>(Comparator.comparingLong(Step::atNanos));
            for (int i = 0; i < 30 * seconds; i++) {
                run(steps, random, new ParentRequest(mExport, 1, false, 0.2, 0), seconds, 0, 150);
            }
            for (int i = 0; i < 100 * seconds; i++) {
                ChainKey k = random.nextInt(10) < 3 ? mCriticalIndex : mIndex;
                run(steps, random, new ParentRequest(k, 1, false, 0.2, 0), seconds, 4, 20);
            }
            long now = 0;
            while (!steps.isEmpty()) {
                Step s = steps.poll();
                mTime.advance(Duration.ofNanos(s.atNanos - now));
                now = s.atNanos;
                s.action.run();
            }
        }

        private void run(
                PriorityQueue<Step> steps,
                Random random,
                ParentRequest source,
                int seconds,
                int calls,
                int millis) {
            long at = (long) (random.nextDouble() * seconds * 1e9);
            steps.add(new Step(at, () -> mCalls.requestStarted(source)));
            for (int k = 0; k < calls; k++) {
                at += (long) (-Math.log(1 - random.nextDouble()) * millis * 1e6);
                steps.add(new Step(at, this::attribute));
            }
            at += (long) (millis * 1e6);
            steps.add(new Step(at, () -> mCalls.requestEnded(source)));
        }

        private void attribute() {
            mCalls.attribute("status", 0)
                    .ifPresent(
                            s -> {
                                mAttributedCalls++;
                                if (s.chain().workClass() == WorkClass.CRITICAL) {
                                    mCriticalCalls++;
                                }
                            });
        }

        @Test
        void identifiesTheCallingOperationWithinFiveSeconds() {
            simulate(5);
            assertThat(mCalls.isKnownCaller(mIndex, "status")).isTrue();
            assertThat(mCalls.isKnownCaller(mExport, "status")).isFalse();
            assertThat(mCalls.callsPerRequest(mIndex)).isBetween(3.0, 5.0);
        }

        @Test
        void attributedClassesMatchTheOfferedProportion() {
            simulate(10);
            assertThat(mCriticalCalls / (double) mAttributedCalls).isBetween(0.2, 0.4);
        }
    }

    /**
     * Load pattern of a desk service, the hardest case for attribution: orders, which are critical,
     * and checks, which are browsing work, run concurrently and make the same call.
     */
    @Nested
    class SameCallOfTwoOperations {
        private static final int REQUESTS_PER_OPERATION = 40;
        private final ManualTimeSource mTime = new ManualTimeSource();
        private final CallAttribution mCalls = new CallAttribution(mTime, new SplittableRandom(1));

        private ParentRequest source(String operation, WorkClass c, long deadlineMillis) {
            ChainKey key = new ChainKey("desk", operation, "p", c);
            return new ParentRequest(
                    key, 1, false, 0.2, TimeUnit.MILLISECONDS.toNanos(deadlineMillis));
        }

        private void startBoth() {
            for (int i = 0; i < REQUESTS_PER_OPERATION; i++) {
                mCalls.requestStarted(source("order", WorkClass.CRITICAL, 2_000 + 10 * i));
                mCalls.requestStarted(source("check", WorkClass.BROWSING, 2_005 + 10 * i));
            }
        }

        private WorkClass attributedClass(double deadlineMillis) {
            long nanos = (long) (deadlineMillis * 1e6);
            return mCalls.attribute("lookup", nanos).orElseThrow().chain().workClass();
        }

        @Test
        void callIsAttributedToTheRequestWithTheMatchingDeadline() {
            startBoth();
            for (int i = 0; i < REQUESTS_PER_OPERATION; i++) {
                mTime.advance(Duration.ofMillis(3));
                assertThat(attributedClass(1_998.9 + 10 * i)).isEqualTo(WorkClass.CRITICAL);
                assertThat(attributedClass(2_003.9 + 10 * i)).isEqualTo(WorkClass.BROWSING);
            }
        }

        @Test
        void callWithItsOwnDeadlineIsAttributedToARequestThatExpiresLater() {
            mCalls.requestStarted(source("order", WorkClass.CRITICAL, 5_000));
            for (int i = 0; i < REQUESTS_PER_OPERATION; i++) {
                mCalls.requestStarted(source("check", WorkClass.BROWSING, 500));
            }
            mTime.advance(Duration.ofMillis(3));
            for (int i = 0; i < REQUESTS_PER_OPERATION; i++) {
                assertThat(attributedClass(700)).isEqualTo(WorkClass.CRITICAL);
            }
        }

        @Test
        void callInheritsTheRankOfItsParentOnlyIfTheDeadlineMatches() {
            startBoth();
            assertThat(mCalls.attribute("lookup", 1_999_000_000L).orElseThrow().rank())
                    .isEqualTo(0.2);
            assertThat(mCalls.attribute("lookup", 700_000_000L).orElseThrow().rank())
                    .isEqualTo(0.5);
        }

        @Test
        void fewRequestsIdentifyTheCallerIfDeadlinesMatch() {
            startBoth();
            for (int i = 0; i < REQUESTS_PER_OPERATION; i++) {
                attributedClass(1_998.9 + 10 * i);
            }
            assertThat(mCalls.isKnownCaller(key("order"), "lookup")).isTrue();
            assertThat(mCalls.isKnownCaller(key("check"), "lookup")).isFalse();
        }

        private ChainKey key(String operation) {
            return new ChainKey("desk", operation, "p", WorkClass.CRITICAL);
        }

        @Test
        void callThatMatchesNoDeadlineIsStillAttributed() {
            mCalls.requestStarted(source("check", WorkClass.BROWSING, 500));
            assertThat(attributedClass(9_000)).isEqualTo(WorkClass.BROWSING);
        }
    }

    @Test
    void callWithoutARunningRequestHasNoParent() {
        CallAttribution calls =
                new CallAttribution(new ManualTimeSource(), new SplittableRandom(1));
        assertThat(calls.attribute("status", 0)).isEmpty();
    }

    @Nested
    class CallerDetection {
        private final Map<String, Integer> mNodes =
                Map.of("books", 4, "desk", 4, "ledger", 4, "stable", 4);
        private final ServerCallDetector mCallers = new ServerCallDetector();

        @Test
        void operationSentByOneServiceIsCalledByServers() {
            for (int i = 0; i < 60; i++) {
                mCallers.recordRequest("status", "ledger");
            }
            assertThat(mCallers.isCalledByServers("status", mNodes)).isTrue();
        }

        @Test
        void operationSentByAllNodesIsUsedByClients() {
            Random random = new Random(3);
            String[] services = {"books", "desk", "ledger", "stable"};
            for (int i = 0; i < 500; i++) {
                mCallers.recordRequest("check", services[random.nextInt(4)]);
                assertThat(mCallers.isCalledByServers("check", mNodes)).isFalse();
            }
        }

        @Test
        void assumptionAppliesUntilEnoughRequestsAreCounted() {
            mCallers.assumeCalledByServers("check");
            assertThat(mCallers.isCalledByServers("check", mNodes)).isTrue();
            Random random = new Random(3);
            String[] services = {"books", "desk", "ledger", "stable"};
            for (int i = 0; i < 500; i++) {
                mCallers.recordRequest("check", services[random.nextInt(4)]);
            }
            assertThat(mCallers.isCalledByServers("check", mNodes)).isFalse();
        }

        @Test
        void fewRequestsAreNotDecisive() {
            for (int i = 0; i < 10; i++) {
                mCallers.recordRequest("status", "ledger");
            }
            assertThat(mCallers.isCalledByServers("status", mNodes)).isFalse();
        }
    }

    /** Whether the failure of a request may be caused by a call that it made. */
    @Nested
    class FailedCalls {
        private final ChainKey mKey = new ChainKey("ledger", "index", "p", WorkClass.NORMAL);
        private final ParentRequest mFirst = new ParentRequest(mKey, 1, false, 0.2, 1_000_000_000);
        private final ParentRequest mSecond =
                new ParentRequest(mKey, 1, false, 0.3, 5_000_000_000L);
        private final ManualTimeSource mTime = new ManualTimeSource();
        private final CallAttribution mCalls = new CallAttribution(mTime, new Random(1));

        private void startBoth() {
            mTime.advance(Duration.ofMillis(10));
            mCalls.requestStarted(mFirst);
            mCalls.requestStarted(mSecond);
        }

        private void failCall(long deadlineNanos) {
            mCalls.recordFailedCall(mCalls.attribute("status", deadlineNanos).orElseThrow());
        }

        @Test
        void failedCallAffectsTheRequestWithTheMatchingDeadline() {
            startBoth();
            failCall(mFirst.deadlineNanos() - 1_000_000);
            assertThat(mCalls.hasFailedCall(mFirst, 0)).isTrue();
            assertThat(mCalls.hasFailedCall(mSecond, 0)).isFalse();
        }

        @Test
        void failedCallOfAnUncertainParentAffectsAllRunningRequests() {
            startBoth();
            failCall(500_000_000);
            long now = mTime.nanos();
            assertThat(mCalls.hasFailedCall(mFirst, now)).isTrue();
            assertThat(mCalls.hasFailedCall(mSecond, now)).isTrue();
            assertThat(mCalls.hasFailedCall(mSecond, now + 1)).isFalse();
        }

        @Test
        void failureIsRemovedWithItsRequest() {
            startBoth();
            failCall(mFirst.deadlineNanos() - 1_000_000);
            mCalls.requestEnded(mFirst);
            mCalls.requestStarted(mFirst);
            assertThat(mCalls.hasFailedCall(mFirst, 0)).isFalse();
        }
    }
}
