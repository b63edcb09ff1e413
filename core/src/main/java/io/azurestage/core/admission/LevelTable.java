package io.azurestage.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Admitted fractions of services for one partner and class. Thread-safe. */
final class LevelTable {
    private static final long FRESH_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final double STEP_FACTOR = 1.5;
    private static final double BLEND_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    private static final double MIN_BLEND = 0.05;
    private static final double ADMITS_ALL = 0.995;
    private static final int MAX_SERVICES = 256;

    private final Map<String, Level> mLevels = new HashMap<>();

    /** The fraction of one service and when it was last heard of. */
    private record Level(double fraction, long learntNanos) {

        /** A level without feedback rises in steps, because the service may still be slow. */
        double aged(long nowNanos) {
            long silent = nowNanos - learntNanos - FRESH_NANOS;
            double growth = silent < 0 ? 1 : Math.pow(STEP_FACTOR, 1 + silent / STEP_NANOS);
            return Math.min(1, fraction * growth);
        }

        /**
         * The servers of a service publish different fractions; their average is what the service
         * as a whole can admit.
         */
        Level blended(double target, long nowNanos) {
            double elapsed = Math.max(0, nowNanos - learntNanos);
            double part = Math.max(MIN_BLEND, 1 - Math.exp(-elapsed / BLEND_NANOS));
            return new Level((1 - part) * aged(nowNanos) + part * target, nowNanos);
        }
    }

    synchronized void learn(String service, double fraction, long nowNanos) {
        double target = Math.max(FractionPlan.MIN_FRACTION, Math.min(1, fraction));
        Level old = mLevels.get(service);
        boolean known = old != null && old.aged(nowNanos) < ADMITS_ALL;
        Level next = known ? old.blended(target, nowNanos) : new Level(target, nowNanos);
        if (next.fraction() >= ADMITS_ALL) {
            mLevels.remove(service);
        } else if (old != null || mLevels.size() < MAX_SERVICES) {
            mLevels.put(service, next);
        }
    }

    /** Returns the fraction of a service, 1 when nothing is known. */
    synchronized double fraction(String service, long nowNanos) {
        Level level = mLevels.get(service);
        double f = level == null ? 1 : level.aged(nowNanos);
        return f < ADMITS_ALL ? f : 1;
    }

    /** Returns when a service was last heard of, or the given time if nothing is known. */
    synchronized long learntNanos(String service, long otherwise) {
        Level level = mLevels.get(service);
        return level == null ? otherwise : level.learntNanos();
    }
}
