package io.azurestage.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

class AllowanceTest {
    private static final int FAN_OUT = 8;
    private static final int GRANTED = 3;

    // Guards against retries that multiply along the call chain or are returned twice (P1).
    @Property(seed = "31", tries = 5000)
    void retriesInACallTreeNeverExceedTheGrantedAllowance(
            @ForAll long seed,
            @ForAll @IntRange(max = 100) int granted,
            @ForAll @IntRange(min = 1, max = 24) int depth,
            @ForAll @DoubleRange(max = 1) double loss) {
        CallTree c = new CallTree(seed, loss);
        int unused = c.call(granted, 1, depth);
        assertThat(c.mRetries + unused).isLessThanOrEqualTo(granted);
    }

    // Guards against a test model that never reaches the full depth or never retries.
    @Example
    void modelReachesFullDepthAndUsesWholeAllowances() {
        int maxDepth = 0;
        int maxRetries = 0;
        for (int seed = 0; seed < 500; seed++) {
            CallTree c = new CallTree(seed, seed % 10 / 10.0);
            c.call(GRANTED, 1, 24);
            maxDepth = Math.max(maxDepth, c.mMaxDepth);
            maxRetries = Math.max(maxRetries, c.mRetries);
        }
        assertThat(maxDepth).isEqualTo(24);
        assertThat(maxRetries).isEqualTo(GRANTED);
    }

    // Guards against an answer that reports more unused retries than were passed on.
    @Example
    void returnsAtMostWhatWasPassedOn() {
        Allowance a = new Allowance(3);
        RetryReservation first = a.reserve();
        RetryReservation second = a.reserve();
        second.returnUnused(9);
        second.returnUnused(9);
        assertThat(a.left()).isEqualTo(1);
        first.returnUnused(9);
        assertThat(a.left()).isEqualTo(3);
        a.returnUnused(5);
        assertThat(a.close()).isEqualTo(3);
        assertThat(a.tryRetry()).isFalse();
    }

    /**
     * Models a call tree with a fan-out of 8, sequential or parallel. One random sub-call of each
     * call goes down to the full depth and the others at most 3 levels, because 8^24 calls are too
     * many to visit.
     */
    private static final class CallTree {
        int mRetries;
        int mMaxDepth;
        private final Random mRandom;
        private final double mLoss;

        CallTree(long seed, double loss) {
            mRandom = new Random(seed);
            mLoss = loss;
        }

        /** Runs one call and returns the number of unused retries that its answer reports. */
        int call(int granted, int depth, int maxDepth) {
            mMaxDepth = Math.max(mMaxDepth, depth);
            Allowance a = new Allowance(granted);
            List<Runnable> pendingAnswers = new ArrayList<>();
            int fullDepthCall = mRandom.nextInt(FAN_OUT);
            for (int i = 0; i < FAN_OUT && depth < maxDepth; i++) {
                int limitedDepth = Math.min(maxDepth, depth + 1 + mRandom.nextInt(3));
                subCall(a, depth + 1, i == fullDepthCall ? maxDepth : limitedDepth, pendingAnswers);
                deliverSomeAnswers(pendingAnswers);
            }
            boolean closedFirst = mRandom.nextBoolean();
            int left = closedFirst ? a.close() : 0;
            Collections.shuffle(pendingAnswers, mRandom);
            pendingAnswers.forEach(Runnable::run);
            return closedFirst ? left : a.close();
        }

        private void subCall(Allowance a, int depth, int maxDepth, List<Runnable> pendingAnswers) {
            for (int retries = 0; ; retries++) {
                RetryReservation reservation = a.reserve();
                boolean failed = mRandom.nextDouble() < mLoss;
                boolean refused = failed && mRandom.nextBoolean();
                int unused =
                        refused
                                ? reservation.retries()
                                : call(reservation.retries(), depth, maxDepth);
                Runnable answer = () -> reservation.returnUnused(unused);
                if (refused) {
                    answer.run();
                }
                if (!failed || refused || mRandom.nextInt(4) == 0) {
                    Collections.addAll(pendingAnswers, answer, answer);
                }
                if (!failed || !retry(a, retries, refused)) {
                    return;
                }
                mRetries++;
            }
        }

        private boolean retry(Allowance a, int retries, boolean refused) {
            AttemptOutcome o =
                    refused ? new AttemptOutcome.Draining() : new AttemptOutcome.LostAnswer();
            Attempt t = new Attempt(o, true, false, retries, Duration.ofMinutes(1), a.left());
            return !(RetryPolicy.defaults().decide(t, mRandom) instanceof RetryDecision.GiveUp)
                    && a.tryRetry();
        }

        private void deliverSomeAnswers(List<Runnable> pendingAnswers) {
            Collections.shuffle(pendingAnswers, mRandom);
            while (!pendingAnswers.isEmpty() && mRandom.nextInt(3) > 0) {
                pendingAnswers.remove(pendingAnswers.size() - 1).run();
            }
        }
    }
}
