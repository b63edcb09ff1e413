package io.azurestage.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Admitted fractions by service, for one partner and class. Thread-safe. */
final class ServiceFractions {
    private static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long GROWTH_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final double GROWTH_FACTOR = 1.5;
    private static final double BLEND_TIME_CONSTANT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    private static final double MIN_BLEND_RATIO = 0.05;
    private static final double FULLY_ADMITTED = 0.995;
    private static final int MAX_SERVICES = 256;

    private final Map<String, Level> mLevels = new HashMap<>();

    /** The fraction of one service and the time of the last feedback. */
    private record Level(double fraction, long feedbackNanos) {

        /**
         * Returns the fraction at a later time. Without feedback it rises in steps, because the
         * service may still be overloaded.
         */
        double aged(long nowNanos) {
            long overdueNanos = nowNanos - feedbackNanos - MAX_AGE_NANOS;
            double growth =
                    overdueNanos < 0
                            ? 1
                            : Math.pow(GROWTH_FACTOR, 1 + overdueNanos / GROWTH_STEP_NANOS);
            return Math.min(1, fraction * growth);
        }

        /**
         * Blends in new feedback. The servers of a service report different fractions; their
         * average is what the service as a whole can admit.
         */
        Level blended(double target, long nowNanos) {
            double elapsed = Math.max(0, nowNanos - feedbackNanos);
            double blendRatio =
                    Math.max(MIN_BLEND_RATIO, 1 - Math.exp(-elapsed / BLEND_TIME_CONSTANT_NANOS));
            return new Level((1 - blendRatio) * aged(nowNanos) + blendRatio * target, nowNanos);
        }
    }

    synchronized void update(String service, double fraction, long nowNanos) {
        double target = Math.max(CapacityAllocator.MIN_FRACTION, Math.min(1, fraction));
        Level old = mLevels.get(service);
        boolean isLimited = old != null && old.aged(nowNanos) < FULLY_ADMITTED;
        Level next = isLimited ? old.blended(target, nowNanos) : new Level(target, nowNanos);
        if (next.fraction() >= FULLY_ADMITTED) {
            mLevels.remove(service);
        } else if (old != null || mLevels.size() < MAX_SERVICES) {
            mLevels.put(service, next);
        }
    }

    /** Returns the fraction of a service, 1 if there is no feedback from it. */
    synchronized double fraction(String service, long nowNanos) {
        Level level = mLevels.get(service);
        double f = level == null ? 1 : level.aged(nowNanos);
        return f < FULLY_ADMITTED ? f : 1;
    }

    /** Returns the time of the last feedback from a service, or the given default without any. */
    synchronized long feedbackNanos(String service, long defaultNanos) {
        Level level = mLevels.get(service);
        return level == null ? defaultNanos : level.feedbackNanos();
    }
}
