package io.azurestage.node;

import io.azurestage.core.admission.PartnerClass;
import io.azurestage.core.time.TimeSource;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The admitted fractions of this node that answers report. A fraction of 1 is reported for a while
 * after an overload, so that the nodes above learn of its end at once; after that it is left out,
 * which keeps the headers of deep chains short. Thread-safe.
 */
final class OwnLevels {
    private static final long REPORTED_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Supplier<Map<PartnerClass, Double>> mFractions;
    private final TimeSource mTime;
    private final Map<PartnerClass, Long> mLastBelowOne = new ConcurrentHashMap<>();

    OwnLevels(Supplier<Map<PartnerClass, Double>> fractions, TimeSource time) {
        mFractions = fractions;
        mTime = time;
    }

    OptionalDouble report(PartnerClass key) {
        Double f = mFractions.get().get(key);
        long now = mTime.nanos();
        if (f != null) {
            mLastBelowOne.put(key, now);
            return OptionalDouble.of(f);
        }
        Long last = mLastBelowOne.get(key);
        if (last == null) {
            return OptionalDouble.empty();
        }
        if (now - last > REPORTED_NANOS) {
            mLastBelowOne.remove(key);
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(1);
    }
}
