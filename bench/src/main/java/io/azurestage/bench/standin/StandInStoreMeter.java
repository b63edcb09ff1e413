package io.azurestage.bench.standin;

import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/** Counts calls by kind, and the peak rate over a sliding second. Thread-safe. */
final class StandInStoreMeter {
    private static final int BUCKETS = 10;
    private static final long BUCKET_NANOS = Duration.ofSeconds(1).toNanos() / BUCKETS;

    private final Map<String, Long> mCalls = new TreeMap<>();
    private final long[] mBuckets = new long[BUCKETS];
    private long mLatestBucket;
    private long mTotal;
    private long mPeak;

    synchronized void count(String kind, long nanos) {
        mCalls.merge(kind, 1L, Long::sum);
        mTotal++;
        long bucket = Math.floorDiv(nanos, BUCKET_NANOS);
        if (mTotal == 1 || bucket - mLatestBucket >= BUCKETS) {
            clearBuckets();
            mLatestBucket = bucket;
        }
        while (mLatestBucket < bucket) {
            mLatestBucket++;
            mBuckets[Math.floorMod(mLatestBucket, BUCKETS)] = 0;
        }
        mBuckets[Math.floorMod(mLatestBucket, BUCKETS)]++;
        long sum = 0;
        for (long n : mBuckets) {
            sum += n;
        }
        mPeak = Math.max(mPeak, sum);
    }

    synchronized StandInStoreCounters read() {
        return new StandInStoreCounters(mCalls, mTotal, mPeak);
    }

    synchronized void reset() {
        mCalls.clear();
        clearBuckets();
        mTotal = 0;
        mPeak = 0;
    }

    private void clearBuckets() {
        Arrays.fill(mBuckets, 0);
    }
}
