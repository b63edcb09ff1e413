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

    private final Map<String, Double> mFractions;
    private final long mLearnt;

    private LevelEntry(Map<String, Double> fractions, long nowNanos) {
        mFractions = fractions;
        mLearnt = nowNanos;
    }

    static LevelEntry first(Map<String, Double> fractions, long nowNanos) {
        return new LevelEntry(Map.of(), nowNanos).blend(fractions, 1, nowNanos);
    }

    /**
     * Moves the levels towards an answer's fractions. The servers of a service publish different
     * fractions; their average is what the service as a whole can admit.
     */
    LevelEntry learn(Map<String, Double> fractions, long nowNanos) {
        double elapsed = Math.max(0, nowNanos - mLearnt);
        double part = Math.max(MIN_BLEND, 1 - Math.exp(-elapsed / BLEND_NANOS));
        return blend(fractions, part, nowNanos);
    }

    Map<String, Double> fractions(long nowNanos) {
        double growth = growth(nowNanos);
        if (growth <= 1) {
            return mFractions;
        }
        Map<String, Double> aged = new HashMap<>();
        mFractions.forEach((service, f) -> putBelowOne(aged, service, f * growth));
        return Map.copyOf(aged);
    }

    double lowest(long nowNanos) {
        double lowest = 1;
        for (double f : mFractions.values()) {
            lowest = Math.min(lowest, f);
        }
        return Math.min(1, lowest * growth(nowNanos));
    }

    boolean isExpired(long nowNanos) {
        return lowest(nowNanos) >= ADMITS_ALL;
    }

    long learntNanos() {
        return mLearnt;
    }

    private LevelEntry blend(Map<String, Double> fractions, double part, long nowNanos) {
        Map<String, Double> old = fractions(nowNanos);
        Map<String, Double> blended = new HashMap<>();
        old.forEach(
                (service, f) -> {
                    double target = bounded(fractions.getOrDefault(service, 1.0));
                    putBelowOne(blended, service, (1 - part) * f + part * target);
                });
        fractions.forEach(
                (service, f) -> {
                    if (!old.containsKey(service) && blended.size() < MAX_SERVICES) {
                        putBelowOne(blended, service, 1 - part + part * bounded(f));
                    }
                });
        return new LevelEntry(Map.copyOf(blended), nowNanos);
    }

    /** A level that gets no more feedback rises in steps, because the service may still be slow. */
    private double growth(long nowNanos) {
        long silent = nowNanos - mLearnt - FRESH_NANOS;
        return silent < 0 ? 1 : Math.pow(STEP_FACTOR, 1 + silent / STEP_NANOS);
    }

    private static void putBelowOne(Map<String, Double> map, String service, double fraction) {
        if (fraction < ADMITS_ALL) {
            map.put(service, fraction);
        }
    }

    private static double bounded(double fraction) {
        return Math.max(FractionPlan.MIN_FRACTION, Math.min(1, fraction));
    }
}
