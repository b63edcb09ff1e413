package io.azurestage.relay.http;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

/**
 * Limits the memory that a pool uses for incomplete responses. When the limit is exceeded, the
 * largest response is aborted, so that servers with endless responses cannot displace the short
 * responses of others. Not thread-safe; use it on the event loop only.
 */
final class HeldBytes {
    /** With buffer growth and copies, up to 2.5 times as much is in use; the heap has 160 MB. */
    static final int MAX = 32 << 20;

    /** The bytes that are reserved for one response. */
    static final class Part {
        private final Runnable mAbort;
        private long mBytes;

        private Part(Runnable abort) {
            mAbort = abort;
        }
    }

    private final Set<Part> mParts = new HashSet<>();
    private long mSum;

    /**
     * Opens a reservation for a response.
     *
     * @param abort ends the response; it must {@link #close} the reservation
     */
    Part open(Runnable abort) {
        Part reservation = new Part(abort);
        mParts.add(reservation);
        return reservation;
    }

    /**
     * Adds bytes to a reservation, and aborts the largest responses while the limit is exceeded.
     */
    void add(Part reservation, int bytes) {
        reservation.mBytes += bytes;
        mSum += bytes;
        while (mSum > MAX) {
            Part largest = mParts.stream().max(Comparator.comparing(r -> r.mBytes)).orElseThrow();
            largest.mAbort.run();
            close(largest);
        }
    }

    /** Releases a reservation; further calls have no effect. */
    void close(Part reservation) {
        if (mParts.remove(reservation)) {
            mSum -= reservation.mBytes;
        }
    }

    long sum() {
        return mSum;
    }
}
