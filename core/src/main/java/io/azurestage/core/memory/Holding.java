package io.azurestage.core.memory;

/** The memory that one request or connection of a client occupies. Thread-safe. */
public final class Holding {
    private final MemoryAccount mAccount;
    private final Runnable mOnEvicted;

    /** State that the account guards. */
    long mBytes;

    long mSinceNanos;
    boolean mEvictable = true;

    Holding(MemoryAccount account, Runnable onEvicted, long nowNanos) {
        mAccount = account;
        mOnEvicted = onEvicted;
        mSinceNanos = nowNanos;
    }

    /**
     * Changes the size, and evicts holdings if the limit of the account is exceeded then.
     *
     * @param bytes the new size
     * @return false if this holding is closed or had to be evicted
     */
    public boolean resize(long bytes) {
        return mAccount.resize(this, bytes);
    }

    /** Lets the age begin now. */
    public void restart() {
        mAccount.restart(this);
    }

    /**
     * Sets whether this holding may be evicted, which is so at first.
     *
     * @param evictable whether it may be evicted from now on
     */
    public void setEvictable(boolean evictable) {
        mAccount.setEvictable(this, evictable);
    }

    /** Gives the memory back; further calls have no effect. */
    public void close() {
        mAccount.close(this);
    }

    /** Returns the size multiplied by the age. */
    double weight(long nowNanos) {
        return (double) mBytes * (nowNanos - mSinceNanos + 1);
    }

    void evict() {
        mOnEvicted.run();
    }
}
