package io.azurestage.bench;

import java.util.SplittableRandom;

/**
 * Generates the intended send times of one flow, with constant or exponentially distributed gaps.
 * The rate is piecewise constant. The next send is due when the integral of the rate since the
 * previous one reaches the drawn amount (1, or exponential with mean 1), so that a rate change
 * takes effect immediately.
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
        // Multiplying by a large odd constant gives adjacent flows seeds that are far apart.
        mRandom = new SplittableRandom(plan.seed() + 0x9E3779B97F4A7C15L * flow);
    }

    /** Returns the next send time in nanoseconds since the start, or -1 after the last phase. */
    long next() {
        double remaining = mPlan.poisson() ? mRandom.nextExponential() : 1;
        for (int i = 0; i < mPlan.phases().size(); i++) {
            double end = mPlan.startNanos(i + 1);
            if (mNanos >= end) {
                continue;
            }
            double rate = mFlow.rates().get(i) / NANOS_PER_SECOND;
            double capacity = (end - mNanos) * rate;
            if (remaining < capacity) {
                mNanos += remaining / rate;
                return (long) mNanos;
            }
            remaining -= capacity;
            mNanos = end;
        }
        return -1;
    }
}
