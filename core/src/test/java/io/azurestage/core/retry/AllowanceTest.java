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

    // Guards against retries that multiply along the chain or come back twice (P1).
    @Property(seed = "31", tries = 5000)
    void aWholeRequestNeverRetriesMoreThanItsAllowance(
            @ForAll long seed,
            @ForAll @IntRange(max = 100) int granted,
            @ForAll @IntRange(min = 1, max = 24) int depth,
            @ForAll @DoubleRange(max = 1) double loss) {
        Chain c = new Chain(seed, loss);
        int unused = c.call(granted, 1, depth);
        assertThat(c.mRetries + unused).isLessThanOrEqualTo(granted);
    }

    // Guards against a model that never gets deep or never retries.
    @Example
    void theModelReachesFullDepthAndSpendsWholeAllowances() {
        int deepest = 0;
        int spent = 0;
        for (int seed = 0; seed < 500; seed++) {
            Chain c = new Chain(seed, seed % 10 / 10.0);
            c.call(GRANTED, 1, 24);
            deepest = Math.max(deepest, c.mDeepest);
            spent = Math.max(spent, c.mRetries);
        }
        assertThat(deepest).isEqualTo(24);
        assertThat(spent).isEqualTo(GRANTED);
    }

    // Guards against an answer that claims more unused retries than were lent.
    @Example
    void whatComesBackIsAtMostWhatWasLent() {
        Allowance a = new Allowance(3);
        Loan first = a.loan();
        Loan second = a.loan();
        second.giveBack(9);
        second.giveBack(9);
        assertThat(a.left()).isEqualTo(1);
        first.giveBack(9);
        assertThat(a.left()).isEqualTo(3);
        a.giveBack(5);
        assertThat(a.close()).isEqualTo(3);
        assertThat(a.tryRetry()).isFalse();
    }

    /**
     * A call tree with a fan-out of 8, in sequence or in parallel. One random sub-call of each call
     * goes down to the full depth and the others at most 3 levels, since 8^24 calls cannot be
     * visited.
     */
    private static final class Chain {
        int mRetries;
        int mDeepest;
        private final Random mRandom;
        private final double mLoss;

        Chain(long seed, double loss) {
            mRandom = new Random(seed);
            mLoss = loss;
        }

        /** Runs one call and returns the unused retries that its answer reports. */
        int call(int granted, int depth, int maxDepth) {
            mDeepest = Math.max(mDeepest, depth);
            Allowance a = new Allowance(granted);
            List<Runnable> late = new ArrayList<>();
            int deep = mRandom.nextInt(FAN_OUT);
            for (int i = 0; i < FAN_OUT && depth < maxDepth; i++) {
                int shallow = Math.min(maxDepth, depth + 1 + mRandom.nextInt(3));
                subCall(a, depth + 1, i == deep ? maxDepth : shallow, late);
                deliverSome(late);
            }
            boolean closedFirst = mRandom.nextBoolean();
            int left = closedFirst ? a.close() : 0;
            Collections.shuffle(late, mRandom);
            late.forEach(Runnable::run);
            return closedFirst ? left : a.close();
        }

        private void subCall(Allowance a, int depth, int maxDepth, List<Runnable> late) {
            for (int retries = 0; ; retries++) {
                Loan loan = a.loan();
                boolean failed = mRandom.nextDouble() < mLoss;
                boolean bounced = failed && mRandom.nextBoolean();
                int unused = bounced ? loan.retries() : call(loan.retries(), depth, maxDepth);
                Runnable answer = () -> loan.giveBack(unused);
                if (bounced) {
                    answer.run();
                }
                if (!failed || bounced || mRandom.nextInt(4) == 0) {
                    Collections.addAll(late, answer, answer);
                }
                if (!failed || !retry(a, retries, bounced)) {
                    return;
                }
                mRetries++;
            }
        }

        private boolean retry(Allowance a, int retries, boolean bounced) {
            AttemptOutcome o =
                    bounced ? new AttemptOutcome.Draining() : new AttemptOutcome.LostAnswer();
            Attempt t = new Attempt(o, true, false, retries, Duration.ofMinutes(1), a.left());
            return !(RetryPolicy.defaults().decide(t, mRandom) instanceof RetryDecision.GiveUp)
                    && a.tryRetry();
        }

        private void deliverSome(List<Runnable> late) {
            Collections.shuffle(late, mRandom);
            while (!late.isEmpty() && mRandom.nextInt(3) > 0) {
                late.remove(late.size() - 1).run();
            }
        }
    }
}
