package io.azurestage.core.membership;

/** Results of this node's latest probes, used to detect that the node itself is isolated. */
final class ProbeWindow {
    private static final int CAPACITY = 10;
    private static final int MIN_SIZE = 3;

    private final boolean[] mFailed = new boolean[CAPACITY];
    private int mNext;
    private int mCount;

    void add(boolean failed) {
        mFailed[mNext] = failed;
        mNext = (mNext + 1) % CAPACITY;
        mCount = Math.min(CAPACITY, mCount + 1);
    }

    /**
     * Tells whether most of the latest probes failed. A small mesh has few members to probe, so
     * only as many results count as there are peers, but at least 3.
     */
    boolean majorityFailed(int peers) {
        int size = Math.min(CAPACITY, Math.max(MIN_SIZE, peers));
        int failed = 0;
        for (int i = 1; i <= Math.min(size, mCount); i++) {
            if (mFailed[(mNext - i + CAPACITY) % CAPACITY]) {
                failed++;
            }
        }
        return 2 * failed > size;
    }
}
