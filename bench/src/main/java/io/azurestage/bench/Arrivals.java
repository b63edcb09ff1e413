package io.azurestage.bench;

import java.util.SplittableRandom;

/**
 * Intended send times of one flow. The rate is piecewise constant: a unit of work (constant or
 * exponentially distributed) is spread over the integral of the rate, so a change of rate takes
 * effect at once.
 */
final class Arrivals {
    private static final double NANOS_PER_SECOND = 1e9;

    private final LoadPlan mPlan;
    private final Flow mFlow;
    private final SplittableRandom mRandom;
    private double mNanos;

    Arrivals(LoadPlan plan, int flow) {
        mPlan = plan;
        mFlow = plan.flows().get(flow);
        // A large odd factor keeps the seeds of neighbouring flows apart.
        mRandom = new SplittableRandom(plan.seed() + 0x9E3779B97F4A7C15L * flow);
    }

    /** Returns the next send time in nanoseconds from the start, or -1 after the last phase. */
    long next() {
        double need = mPlan.poisson() ? mRandom.nextExponential() : 1;
        for (int i = 0; i < mPlan.phases().size(); i++) {
            double end = mPlan.startNanos(i + 1);
            if (mNanos >= end) {
                continue;
            }
            double rate = mFlow.rates().get(i) / NANOS_PER_SECOND;
            double available = (end - mNanos) * rate;
            if (need < available) {
                mNanos += need / rate;
                return (long) mNanos;
            }
            need -= available;
            mNanos = end;
        }
        return -1;
    }
}
