package io.azurestage.relay.link;

import io.azurestage.core.admission.ServiceLevel;
import io.azurestage.relay.call.LoadReport;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Levels that another node has been told by operation. While they stay as they are, they are told
 * now and then only, since putting them into each answer costs both nodes time.
 */
final class ToldLevels {
    /** The other node blends levels, so new ones are told with each answer for a while. */
    private static final long SETTLED_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Levels that were not heard of for a second rise at the other node. */
    private static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final int MAX_OPERATIONS = 1_024;

    private static final class Told {
        private final List<ServiceLevel> mLevels;
        private final long mSince;
        private long mLast;

        Told(List<ServiceLevel> levels, long nowNanos) {
            mLevels = levels;
            mSince = nowNanos;
            mLast = nowNanos;
        }
    }

    private final Map<String, Told> mByOperation = new HashMap<>();

    /**
     * Returns what is to be told with an answer.
     *
     * @param operation called operation
     * @param load the whole report; its levels are the same object while they do not change
     * @param nowNanos monotonic time
     * @return the report, or one without levels if the other node knows them
     */
    LoadReport shortened(String operation, LoadReport load, long nowNanos) {
        Told told = mByOperation.get(operation);
        if (told == null || told.mLevels != load.levels()) {
            if (mByOperation.size() >= MAX_OPERATIONS) {
                mByOperation.clear();
            }
            mByOperation.put(operation, new Told(load.levels(), nowNanos));
            return load;
        }
        boolean settled = nowNanos - told.mSince >= SETTLED_NANOS;
        if (settled && nowNanos - told.mLast < REPEAT_NANOS) {
            return load.withoutLevels();
        }
        told.mLast = nowNanos;
        return load;
    }

    /** Forgets everything, since another connection may have lost what was told on the last. */
    void clear() {
        mByOperation.clear();
    }
}
