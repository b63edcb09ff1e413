package io.azurestage.core.memory;

import io.azurestage.core.time.TimeSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Counts the memory that the clients of a node occupy, and keeps it below a limit. When the limit
 * is exceeded, holdings are evicted in the order of their size multiplied by their age, so that
 * clients that keep much for long give way to those whose requests are short. Thread-safe.
 *
 * <pre>{@code
 * MemoryAccount account = MemoryAccount.ofHeap(0.5, TimeSource.system());
 * Holding body = account.open(connection::close);
 * body.resize(received); // may evict this or another holding
 * body.close();
 * }</pre>
 */
public final class MemoryAccount {
    /** Size in bytes from which a holding is large. */
    private static final long LARGE_BYTES = 64 << 10;

    /** Fraction of the limit that large holdings may occupy. Small ones always find the rest. */
    private static final double LARGE_FRACTION = 0.9;

    /** Fraction of the limit to which an excess is reduced, so that evictions are rare. */
    private static final double REDUCED_FRACTION = 0.95;

    private final long mLimitBytes;
    private final TimeSource mTime;
    private final Set<Holding> mHoldings = new LinkedHashSet<>();
    private long mTotalBytes;
    private long mLargeBytes;

    /**
     * Creates an empty account.
     *
     * @param limitBytes largest total size in bytes
     * @param time clock for the age of holdings
     * @throws IllegalArgumentException if the limit is not positive
     */
    public MemoryAccount(long limitBytes, TimeSource time) {
        if (limitBytes < 1) {
            throw new IllegalArgumentException("the limit must be positive, not " + limitBytes);
        }
        mLimitBytes = limitBytes;
        mTime = time;
    }

    /**
     * Creates an account whose limit is a part of the largest heap of this process.
     *
     * @param fraction fraction of the heap, between 0 and 1
     * @param time clock for the age of holdings
     * @return an empty account
     */
    public static MemoryAccount ofHeap(double fraction, TimeSource time) {
        return new MemoryAccount((long) (Runtime.getRuntime().maxMemory() * fraction), time);
    }

    /**
     * Creates an account without a limit, for connections to parts of the platform.
     *
     * @return an empty account
     */
    public static MemoryAccount unlimited() {
        return new MemoryAccount(Long.MAX_VALUE, TimeSource.system());
    }

    /**
     * Opens an empty holding, whose age begins now.
     *
     * @param onEvicted frees the memory. It runs on the thread that exceeded the limit, at most
     *     once, and after the holding was closed
     * @return the holding
     */
    public Holding open(Runnable onEvicted) {
        Holding h = new Holding(this, onEvicted, mTime.nanos());
        synchronized (this) {
            mHoldings.add(h);
        }
        return h;
    }

    /**
     * Returns the total size of all holdings.
     *
     * @return the size in bytes
     */
    public synchronized long heldBytes() {
        return mTotalBytes;
    }

    /**
     * Returns the largest size of a single holding that leaves room for small ones.
     *
     * @return the size in bytes
     */
    public long maxHoldingBytes() {
        return (long) (mLimitBytes * LARGE_FRACTION);
    }

    /** Changes the size of a holding. Returns false if it is closed or had to be evicted. */
    boolean resize(Holding h, long bytes) {
        List<Holding> evicted;
        synchronized (this) {
            if (!mHoldings.contains(h)) {
                return false;
            }
            count(h, bytes);
            evicted = selectExcess();
            evicted.forEach(this::close);
        }
        evicted.forEach(Holding::evict);
        return !evicted.contains(h);
    }

    synchronized void close(Holding h) {
        if (mHoldings.contains(h)) {
            count(h, 0);
            mHoldings.remove(h);
        }
    }

    synchronized void restart(Holding h) {
        h.mSinceNanos = mTime.nanos();
    }

    synchronized void setEvictable(Holding h, boolean evictable) {
        h.mEvictable = evictable;
    }

    private void count(Holding h, long bytes) {
        mTotalBytes += bytes - h.mBytes;
        mLargeBytes += largePart(bytes) - largePart(h.mBytes);
        h.mBytes = bytes;
    }

    private static long largePart(long bytes) {
        return bytes >= LARGE_BYTES ? bytes : 0;
    }

    private List<Holding> selectExcess() {
        List<Holding> selected = new ArrayList<>();
        long maxLargeBytes = maxHoldingBytes();
        if (mLargeBytes > maxLargeBytes) {
            long excess = mLargeBytes - (long) (maxLargeBytes * REDUCED_FRACTION);
            select(h -> h.mBytes >= LARGE_BYTES, excess, selected);
        }
        long selectedBytes = selected.stream().mapToLong(h -> h.mBytes).sum();
        if (mTotalBytes - selectedBytes > mLimitBytes) {
            long excess = mTotalBytes - selectedBytes - (long) (mLimitBytes * REDUCED_FRACTION);
            select(h -> !selected.contains(h), excess, selected);
        }
        return selected;
    }

    /** Selects evictable holdings until they amount to an excess. */
    private void select(Predicate<Holding> condition, long excess, List<Holding> selected) {
        long now = mTime.nanos();
        List<Holding> candidates =
                mHoldings.stream()
                        .filter(h -> h.mEvictable)
                        .filter(condition)
                        .sorted(Comparator.comparingDouble(h -> -h.weight(now)))
                        .toList();
        long remaining = excess;
        for (Holding h : candidates) {
            if (remaining <= 0) {
                return;
            }
            selected.add(h);
            remaining -= h.mBytes;
        }
    }
}
