package io.azurestage.bench.standin;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Records the work that the stand-in backends did for each request. Thread-safe. */
public final class WorkLedger {
    private final Map<String, Entry> mEntries = new ConcurrentHashMap<>();

    /** Counts for one of the caller's attempts, by service. */
    private static final class Entry {
        private final RequestKey mKey;
        private final Map<String, ServiceCounts> mCounts = new HashMap<>();

        Entry(RequestKey key) {
            mKey = key;
        }

        synchronized ServiceCounts counts(String service) {
            return mCounts.computeIfAbsent(service, name -> new ServiceCounts());
        }
    }

    private static final class ServiceCounts {
        private int mArrived;
        private int mStarted;
        private long mNanos;
    }

    /**
     * Totals over all requests.
     *
     * @param workNanos slot time spent on service work, in nanoseconds
     * @param wastedNanos part of {@code workNanos} spent on requests that failed, or on executions
     *     beyond the first at each service
     * @param runs number of executions started
     * @param maxRetries largest number of additional attempts at the backends for one of the
     *     caller's attempts, summed over the whole chain
     * @param duplicated number of CRITICAL requests that a service started more than once, over all
     *     of the caller's attempts
     */
    public record Summary(
            long workNanos, long wastedNanos, long runs, int maxRetries, int duplicated) {
        /**
         * Returns the wasted fraction of the work.
         *
         * @return a ratio from 0 to 1; 0 if there was no work
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

    void recordArrival(String service, RequestKey key) {
        Entry entry = entry(key);
        synchronized (entry) {
            entry.counts(service).mArrived++;
        }
    }

    void recordStart(String service, RequestKey key) {
        Entry entry = entry(key);
        synchronized (entry) {
            entry.counts(service).mStarted++;
        }
    }

    void recordWork(String service, RequestKey key, long nanos) {
        Entry entry = entry(key);
        synchronized (entry) {
            entry.counts(service).mNanos += nanos;
        }
    }

    /**
     * Computes the totals. To be called after all requests have ended.
     *
     * @param completedKeys {@link RequestKey#text()} of the attempts that got a complete response
     * @return totals over all requests
     */
    public Summary summary(Set<String> completedKeys) {
        long work = 0;
        long wasted = 0;
        long runs = 0;
        int maxRetries = 0;
        Map<String, Integer> criticalRuns = new HashMap<>();
        for (Entry entry : mEntries.values()) {
            boolean completed = completedKeys.contains(entry.mKey.text());
            int retries = 0;
            synchronized (entry) {
                for (var item : entry.mCounts.entrySet()) {
                    ServiceCounts count = item.getValue();
                    work += count.mNanos;
                    runs += count.mStarted;
                    wasted += completed ? repeatedNanos(count) : count.mNanos;
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
     * @param key {@link RequestKey#text()} of an attempt
     * @return true if at least one service has started executing it
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

    private static long repeatedNanos(ServiceCounts count) {
        return count.mStarted < 2 ? 0 : count.mNanos - count.mNanos / count.mStarted;
    }

    /**
     * Returns the slot time spent on the requests of a partner and a class of work.
     *
     * @param partner partner name
     * @param workClass class of work
     * @return slot time in nanoseconds
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
