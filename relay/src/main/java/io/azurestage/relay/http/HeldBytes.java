package io.azurestage.relay.http;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

/**
 * Bounds the bytes of unfinished answers that a pool holds together. When there are too many, the
 * largest answer is given up, so that servers that send without end cannot displace the short
 * answers of others. Used on the event loop only.
 */
final class HeldBytes {
    /** Two and a half times as much, with growing and copying, fits into a heap of 160 MB. */
    static final int MAX = 32 << 20;

    /** The part of one answer. */
    static final class Part {
        private final Runnable mGiveUp;
        private long mBytes;

        private Part(Runnable giveUp) {
            mGiveUp = giveUp;
        }
    }

    private final Set<Part> mParts = new HashSet<>();
    private long mSum;

    /**
     * Starts the part of an answer.
     *
     * @param giveUp ends the answer; it must {@link #close} the part
     */
    Part open(Runnable giveUp) {
        Part p = new Part(giveUp);
        mParts.add(p);
        return p;
    }

    /** Adds to a part, and gives up the largest answers if the sum is too large. */
    void add(Part part, int bytes) {
        part.mBytes += bytes;
        mSum += bytes;
        while (mSum > MAX) {
            Part largest = mParts.stream().max(Comparator.comparing(p -> p.mBytes)).orElseThrow();
            largest.mGiveUp.run();
            close(largest);
        }
    }

    /** Ends a part; further calls have no effect. */
    void close(Part part) {
        if (mParts.remove(part)) {
            mSum -= part.mBytes;
        }
    }

    long sum() {
        return mSum;
    }
}
