package io.azurestage.node;

import io.azurestage.config.WorkClass;
import io.azurestage.core.admission.PartnerClass;
import io.azurestage.core.admission.ServiceLevel;
import io.azurestage.core.time.TimeSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Selects the admitted fractions of the local backend server that answers report. A fraction of 1
 * is still reported for some seconds after an overload, so that upstream nodes learn of its end
 * promptly, and is then omitted to keep the header fields of deep call chains short. Thread-safe.
 */
final class LocalLevels {
    private static final long REPORT_AFTER_OVERLOAD_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final String mService;
    private final Supplier<Map<PartnerClass, Double>> mFractions;
    private final TimeSource mTime;
    private final Map<PartnerClass, Long> mLastBelowOneNanos = new ConcurrentHashMap<>();

    LocalLevels(String service, Supplier<Map<PartnerClass, Double>> fractions, TimeSource time) {
        mService = service;
        mFractions = fractions;
        mTime = time;
    }

    /** Returns the fractions of a partner's classes that are, or recently were, below 1. */
    List<ServiceLevel> report(String partner) {
        Map<PartnerClass, Double> fractions = mFractions.get();
        if (fractions.isEmpty() && mLastBelowOneNanos.isEmpty()) {
            return List.of();
        }
        List<ServiceLevel> levels = new ArrayList<>();
        for (WorkClass c : WorkClass.values()) {
            PartnerClass key = new PartnerClass(partner, c);
            double f = fractions.getOrDefault(key, 1.0);
            if (isReported(key, f)) {
                levels.add(new ServiceLevel(mService, c, f));
            }
        }
        return levels;
    }

    private boolean isReported(PartnerClass key, double fraction) {
        long now = mTime.nanos();
        if (fraction < 1) {
            mLastBelowOneNanos.put(key, now);
            return true;
        }
        Long last = mLastBelowOneNanos.get(key);
        if (last == null) {
            return false;
        }
        if (now - last > REPORT_AFTER_OVERLOAD_NANOS) {
            mLastBelowOneNanos.remove(key);
            return false;
        }
        return true;
    }
}
