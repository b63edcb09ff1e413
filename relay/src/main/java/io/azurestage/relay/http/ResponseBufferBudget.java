package io.azurestage.relay.http;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

/**
 * Limits the memory that a pool uses for incomplete responses. When the limit is exceeded, the
 * largest one is aborted, so that servers with endless responses cannot displace the short
 * responses of others. Not thread-safe; use it on the event loop only.
 */
final class ResponseBufferBudget {
    /** With buffer growth and copies, 2.5 times as much is in use, which fits a 160 MB heap. */
    static final int MAX_BYTES = 32 << 20;

    /** The bytes that are reserved for one response. */
    static final class Reservation {
        private final Runnable mAbort;
        private long mBytes;

        private Reservation(Runnable abort) {
            mAbort = abort;
        }
    }

    private final Set<Reservation> mReservations = new HashSet<>();
    private long mTotalBytes;

    /**
     * Opens a reservation for a response.
     *
     * @param abort ends the response; it must {@link #close} the reservation
     */
    Reservation open(Runnable abort) {
        Reservation reservation = new Reservation(abort);
        mReservations.add(reservation);
        return reservation;
    }

    /**
     * Adds bytes to a reservation, and aborts the largest responses while the limit is exceeded.
     */
    void add(Reservation reservation, int bytes) {
        reservation.mBytes += bytes;
        mTotalBytes += bytes;
        while (mTotalBytes > MAX_BYTES) {
            Reservation largest =
                    mReservations.stream().max(Comparator.comparing(r -> r.mBytes)).orElseThrow();
            largest.mAbort.run();
            close(largest);
        }
    }

    /** Releases a reservation; further calls have no effect. */
    void close(Reservation reservation) {
        if (mReservations.remove(reservation)) {
            mTotalBytes -= reservation.mBytes;
        }
    }

    long totalBytes() {
        return mTotalBytes;
    }
}
