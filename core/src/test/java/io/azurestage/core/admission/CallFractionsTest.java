package io.azurestage.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.config.WorkClass;
import io.azurestage.core.time.ManualTimeSource;
import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: a service handles short calls of running requests and long requests of its own, all
 * of one class, during a surge that needs twice its slots. The calls alone fit its capacity.
 */
class CallFractionsTest {
    private static final int SLOTS = 38;
    private static final Duration REQUEST_DURATION = Duration.ofMillis(240);
    private static final Duration TICK = Duration.ofMillis(10);
    private static final PartnerClass KEY = new PartnerClass("p", WorkClass.BROWSING);

    private record Step(long atNanos, Runnable action) {}

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final AdmissionController mController =
            AdmissionController.withFixedLimit(SLOTS, mTime);
    private final Random mRandom = new Random(9);
    private final PriorityQueue<Step> mSteps =
            new PriorityQueue<>(Comparator.comparingLong(Step::atNanos));
    private Duration mCallDuration = Duration.ofMillis(15);
    private int mCalls;
    private int mRefusedCalls;

    /** A call or a request, which holds its slot for a fixed time. */
    private final class SimulatedWork implements AdmissionListener {
        private final boolean mIsCall;
        private final AdmissionRequest mWork;

        SimulatedWork(boolean isCall, double fraction) {
            mIsCall = isCall;
            long deadline = mTime.nanos() + Duration.ofSeconds(2).toNanos();
            mWork =
                    new AdmissionRequest(
                            KEY.partner(),
                            KEY.workClass(),
                            mRandom.nextDouble(),
                            deadline,
                            fraction,
                            false,
                            isCall ? "check" : "view",
                            isCall,
                            this);
        }

        @Override
        public void onAdmitted() {
            long heldNanos = (mIsCall ? mCallDuration : REQUEST_DURATION).toNanos();
            Completion done = new Completion(heldNanos, heldNanos, Completion.Outcome.ANSWERED);
            after(heldNanos, () -> mController.complete(mWork, done));
        }

        @Override
        public void onRefused(RefusalReason reason, Duration retryAfter) {
            mRefusedCalls += mIsCall ? 1 : 0;
        }
    }

    private void after(long nanos, Runnable action) {
        mSteps.add(new Step(mTime.nanos() + nanos, action));
    }

    private void offer(boolean isCall, double perSecond) {
        after(
                (long) (-Math.log(1 - mRandom.nextDouble()) / perSecond * 1e9),
                () -> {
                    mCalls += isCall ? 1 : 0;
                    double fraction =
                            (isCall ? mController.callFractions() : mController.fractions())
                                    .getOrDefault(KEY, 1.0);
                    if (mRandom.nextDouble() < fraction) {
                        mController.offer(new SimulatedWork(isCall, fraction).mWork);
                    }
                    offer(isCall, perSecond);
                });
    }

    private void tick() {
        mController.tick();
        after(TICK.toNanos(), this::tick);
    }

    private void simulate(double callsPerSecond, double requestsPerSecond) {
        tick();
        offer(true, callsPerSecond);
        offer(false, requestsPerSecond);
        run();
    }

    private void run() {
        long end = Duration.ofSeconds(5).toNanos();
        while (mSteps.peek().atNanos() <= end) {
            Step s = mSteps.poll();
            mTime.advance(Duration.ofNanos(Math.max(0, s.atNanos() - mTime.nanos())));
            s.action().run();
        }
    }

    @Nested
    class CallsWithinCapacity {
        // Guards against fractions for calls that include the demand of other requests.
        @Test
        void longRequestsDoNotLowerTheFractionOfCalls() {
            simulate(1_600, 200);
            double callFraction = mController.callFractions().getOrDefault(KEY, 1.0);
            assertThat(callFraction).isGreaterThan(0.99);
            assertThat(mController.fractions().get(KEY)).isLessThan(callFraction);
            assertThat(mRefusedCalls).isLessThan(mCalls / 100);
        }
    }

    /** Calls pause for seconds while the server is busy with requests of its own. */
    @Nested
    class IntermittentCalls {
        private static final int REQUESTS_PER_SECOND = 40;
        private static final int CALLS_PER_SECOND = 50;
        private double mLowestFraction = 1;

        private void sampleLowestFraction() {
            mLowestFraction =
                    Math.min(mLowestFraction, mController.callFractions().getOrDefault(KEY, 1.0));
            after(TICK.toNanos(), this::sampleLowestFraction);
        }

        private void offerCalls(double seconds) {
            for (int i = 0; i < seconds * CALLS_PER_SECOND; i++) {
                after(
                        (long) (i * 1e9 / CALLS_PER_SECOND),
                        () -> mController.offer(new SimulatedWork(true, 1).mWork));
            }
        }

        // Guards against stall detection that takes the time without calls for a hanging server.
        @Test
        void absenceOfCallsIsNotTakenForASlowServer() {
            mCallDuration = Duration.ofMillis(300);
            tick();
            sampleLowestFraction();
            offer(false, REQUESTS_PER_SECOND);
            offerCalls(0.5);
            after(Duration.ofSeconds(4).toNanos(), () -> offerCalls(0.5));
            run();
            assertThat(mLowestFraction).isEqualTo(1);
        }
    }

    @Nested
    class CallsAboveCapacity {
        // Guards against calls above the capacity that do not lower the fraction of their chains.
        @Test
        void callsAboveCapacityLowerTheirFraction() {
            simulate(4_000, 200);
            assertThat(mController.callFractions().get(KEY)).isBetween(0.4, 0.8);
        }
    }
}
