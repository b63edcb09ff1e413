package io.azurestage.core.membership;

/** Outcomes of this node's latest probes; shows when the fault is likely to be on its own side. */
final class ProbeWindow {
    private static final int MAX = 10;
    private static final int MIN = 3;

    private final boolean[] mFailed = new boolean[MAX];
    private int mNext;
    private int mCount;

    void add(boolean failed) {
        mFailed[mNext] = failed;
        mNext = (mNext + 1) % MAX;
        mCount = Math.min(MAX, mCount + 1);
    }

    /**
     * Tells whether most of the latest probes failed. A small mesh has few members to probe, so
     * only as many outcomes count as there are peers.
     */
    boolean mostFailed(int peers) {
        int size = Math.min(MAX, Math.max(MIN, peers));
        int failed = 0;
        for (int i = 1; i <= Math.min(size, mCount); i++) {
            if (mFailed[(mNext - i + MAX) % MAX]) {
                failed++;
            }
        }
        return 2 * failed > size;
    }
}
