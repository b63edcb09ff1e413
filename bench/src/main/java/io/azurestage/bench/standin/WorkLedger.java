package io.azurestage.bench.standin;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Counts at the stand-in backends what was run for which request. Thread-safe. */
public final class WorkLedger {
    private final Map<String, Entry> mEntries = new ConcurrentHashMap<>();

    /** What was counted for one attempt of a caller, by service. */
    private static final class Entry {
        private final RequestKey mKey;
        private final Map<String, Count> mCounts = new HashMap<>();

        Entry(RequestKey key) {
            mKey = key;
        }

        synchronized Count count(String service) {
            return mCounts.computeIfAbsent(service, name -> new Count());
        }
    }

    private static final class Count {
        private int mArrived;
        private int mStarted;
        private long mNanos;
    }

    /**
     * Sums over all requests.
     *
     * @param workNanos slot time used for service work
     * @param wastedNanos part of it that was used for requests that failed, or beyond the first
     *     execution at each service
     * @param runs executions started
     * @param maxRetries largest number of extra attempts at the backends for one attempt of a
     *     caller, summed over its whole chain
     * @param duplicated requests of the class CRITICAL that a service started more than once, over
     *     all attempts of the caller
     */
    public record Summary(
            long workNanos, long wastedNanos, long runs, int maxRetries, int duplicated) {
        /**
         * Returns the wasted part of the work.
         *
         * @return a ratio from 0 to 1
         */
        public double wastedRatio() {
            return workNanos == 0 ? 0 : (double) wastedNanos / workNanos;
        }
    }

    /** Creates an empty ledger. */
    public WorkLedger() {}

    private Entry entry(RequestKey key) {
        return mEntries.computeIfAbsent(key.text(), text -> new Entry(key));
    }

    void arrived(String service, RequestKey key) {
        Entry entry = entry(key);
        synchronized (entry) {
            entry.count(service).mArrived++;
        }
    }

    void started(String service, RequestKey key) {
        Entry entry = entry(key);
        synchronized (entry) {
            entry.count(service).mStarted++;
        }
    }

    void worked(String service, RequestKey key, long nanos) {
        Entry entry = entry(key);
        synchronized (entry) {
            entry.count(service).mNanos += nanos;
        }
    }

    /**
     * Sums up. Call it after all requests have ended.
     *
     * @param whole texts of the request keys that were answered whole
     * @return the sums
     */
    public Summary summary(Set<String> whole) {
        long work = 0;
        long wasted = 0;
        long runs = 0;
        int maxRetries = 0;
        Map<String, Integer> criticalRuns = new HashMap<>();
        for (Entry entry : mEntries.values()) {
            boolean isWhole = whole.contains(entry.mKey.text());
            int retries = 0;
            synchronized (entry) {
                for (var item : entry.mCounts.entrySet()) {
                    Count count = item.getValue();
                    work += count.mNanos;
                    runs += count.mStarted;
                    wasted += isWhole ? beyondFirst(count) : count.mNanos;
                    retries += count.mArrived - 1;
                    if (entry.mKey.workClass().equals("CRITICAL")) {
                        String run = entry.mKey.id() + " " + item.getKey();
                        criticalRuns.merge(run, count.mStarted, Integer::sum);
                    }
                }
            }
            maxRetries = Math.max(maxRetries, retries);
        }
        int duplicated = (int) criticalRuns.values().stream().filter(n -> n > 1).count();
        return new Summary(work, wasted, runs, maxRetries, duplicated);
    }

    /**
     * Reports whether any service has started work for a request.
     *
     * @param key text of a request key
     * @return true if it has run at least in part
     */
    public boolean hasRun(String key) {
        Entry entry = mEntries.get(key);
        if (entry == null) {
            return false;
        }
        synchronized (entry) {
            return entry.mCounts.values().stream().anyMatch(count -> count.mStarted > 0);
        }
    }

    private static long beyondFirst(Count count) {
        return count.mStarted < 2 ? 0 : count.mNanos - count.mNanos / count.mStarted;
    }

    /**
     * Returns the slot time used for a partner and a class.
     *
     * @param partner partner name
     * @param workClass class of work
     * @return nanoseconds
     */
    public long workNanos(String partner, String workClass) {
        long sum = 0;
        for (Entry entry : mEntries.values()) {
            if (!entry.mKey.partner().equals(partner)
                    || !entry.mKey.workClass().equals(workClass)) {
                continue;
            }
            synchronized (entry) {
                sum += entry.mCounts.values().stream().mapToLong(count -> count.mNanos).sum();
            }
        }
        return sum;
    }
}
