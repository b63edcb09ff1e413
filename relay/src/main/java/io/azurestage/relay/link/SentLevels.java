package io.azurestage.relay.link;

import io.azurestage.core.admission.ServiceLevel;
import io.azurestage.relay.call.LoadReport;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Remembers which service levels have been sent to a peer, per operation. Unchanged levels are sent
 * only at intervals, because encoding them in every response costs both nodes processing time.
 */
final class SentLevels {
    /**
     * The peer averages levels over time, so changed levels are sent with each response at first.
     */
    private static final long SETTLED_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The peer raises levels that it has not received for one second. */
    private static final long REPEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final int MAX_OPERATIONS = 1_024;

    private static final class SentState {
        private final List<ServiceLevel> mLevels;
        private final long mChangedNanos;
        private long mLastSentNanos;

        SentState(List<ServiceLevel> levels, long nowNanos) {
            mLevels = levels;
            mChangedNanos = nowNanos;
            mLastSentNanos = nowNanos;
        }
    }

    private final Map<String, SentState> mByOperation = new HashMap<>();

    /**
     * Returns the report to send with a response.
     *
     * @param operation called operation
     * @param load complete report; unchanged levels must be the same list instance
     * @param nowNanos monotonic time, in nanoseconds
     * @return the report, or a copy without levels if the peer has them
     */
    LoadReport omitUnchangedLevels(String operation, LoadReport load, long nowNanos) {
        SentState sent = mByOperation.get(operation);
        if (sent == null || sent.mLevels != load.levels()) {
            if (mByOperation.size() >= MAX_OPERATIONS) {
                mByOperation.clear();
            }
            mByOperation.put(operation, new SentState(load.levels(), nowNanos));
            return load;
        }
        boolean settled = nowNanos - sent.mChangedNanos >= SETTLED_NANOS;
        if (settled && nowNanos - sent.mLastSentNanos < REPEAT_INTERVAL_NANOS) {
            return load.withoutLevels();
        }
        sent.mLastSentNanos = nowNanos;
        return load;
    }

    /** Clears the cache for a new connection, since levels sent on the previous one may be lost. */
    void clear() {
        mByOperation.clear();
    }
}
