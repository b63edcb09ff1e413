package io.azurestage.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Fractions of the services of one chain. Immutable. */
final class LevelEntry {
    private static final long FRESH_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final double STEP_FACTOR = 1.5;
    private static final double BLEND_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final double MIN_BLEND = 0.05;
    private static final double ADMITS_ALL = 0.995;
    private static final int MAX_SERVICES = 256;

    private final Map<String, Level> mLevels;
    private final long mLearnt;

    /** The fraction of one service and when it was last heard of. */
    private record Level(double fraction, long learntNanos) {

        /** A level without feedback rises in steps, because the service may still be slow. */
        double aged(long nowNanos) {
            long silent = nowNanos - learntNanos - FRESH_NANOS;
            double growth = silent < 0 ? 1 : Math.pow(STEP_FACTOR, 1 + silent / STEP_NANOS);
            return Math.min(1, fraction * growth);
        }
    }

    private LevelEntry(Map<String, Level> levels, long learntNanos) {
        mLevels = levels;
        mLearnt = learntNanos;
    }

    static LevelEntry first(Map<String, Double> fractions, long nowNanos) {
        return new LevelEntry(Map.of(), nowNanos).learn(fractions, nowNanos);
    }

    /**
     * Moves the levels towards an answer's fractions. The servers of a service publish different
     * fractions; their average is what the service as a whole can admit. A service that the answer
     * does not name was not reached, or has not been overloaded lately; its level stays and ages.
     */
    LevelEntry learn(Map<String, Double> fractions, long nowNanos) {
        Map<String, Level> learnt = new HashMap<>();
        mLevels.forEach(
                (service, level) -> {
                    if (level.aged(nowNanos) < ADMITS_ALL) {
                        learnt.put(service, level);
                    }
                });
        fractions.forEach(
                (service, f) -> {
                    Level old = learnt.getOrDefault(service, new Level(1, nowNanos));
                    Level next = new Level(blend(old, bounded(f), nowNanos), nowNanos);
                    if (next.fraction() >= ADMITS_ALL) {
                        learnt.remove(service);
                    } else if (learnt.size() < MAX_SERVICES || learnt.containsKey(service)) {
                        learnt.put(service, next);
                    }
                });
        return new LevelEntry(Map.copyOf(learnt), nowNanos);
    }

    private double blend(Level old, double target, long nowNanos) {
        if (mLevels.isEmpty()) {
            return target;
        }
        double elapsed = Math.max(0, nowNanos - mLearnt);
        double part = Math.max(MIN_BLEND, 1 - Math.exp(-elapsed / BLEND_NANOS));
        return (1 - part) * old.aged(nowNanos) + part * target;
    }

    Map<String, Double> fractions(long nowNanos) {
        Map<String, Double> aged = new HashMap<>();
        mLevels.forEach(
                (service, level) -> {
                    double f = level.aged(nowNanos);
                    if (f < ADMITS_ALL) {
                        aged.put(service, f);
                    }
                });
        return Map.copyOf(aged);
    }

    double lowest(long nowNanos) {
        double lowest = 1;
        for (Level level : mLevels.values()) {
            lowest = Math.min(lowest, level.aged(nowNanos));
        }
        return lowest;
    }

    boolean isExpired(long nowNanos) {
        return lowest(nowNanos) >= ADMITS_ALL;
    }

    long learntNanos() {
        return mLearnt;
    }

    private static double bounded(double fraction) {
        return Math.max(FractionPlan.MIN_FRACTION, Math.min(1, fraction));
    }
}
