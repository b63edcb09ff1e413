package io.azurestage.relay.http;

import io.azurestage.core.memory.Holding;
import io.azurestage.core.memory.MemoryAccount;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

/**
 * Limits the memory that a pool uses for incomplete responses, which also count in the account of
 * the node. When the limit is exceeded, the largest one is aborted, so that servers with endless
 * responses cannot displace the short responses of others. Not thread-safe; use it on the event
 * loop only.
 */
final class ResponseBufferBudget {
    /** Largest total size in bytes. */
    static final int MAX_BYTES = 32 << 20;

    /** The bytes that are reserved for one response. */
    static final class Reservation {
        private final Runnable mAbort;
        private final Holding mHolding;
        private long mBytes;

        private Reservation(Runnable abort, Holding holding) {
            mAbort = abort;
            mHolding = holding;
        }
    }

    private final Set<Reservation> mReservations = new HashSet<>();
    private final MemoryAccount mMemory;
    private long mTotalBytes;

    ResponseBufferBudget(MemoryAccount memory) {
        mMemory = memory;
    }

    /**
     * Opens a reservation for a response.
     *
     * @param abort ends the response; it must {@link #close} the reservation
     */
    Reservation open(Runnable abort) {
        Reservation reservation = new Reservation(abort, mMemory.open(abort));
        mReservations.add(reservation);
        return reservation;
    }

    /**
     * Adds bytes to a reservation, and aborts the largest responses while the limit is exceeded.
     */
    void add(Reservation reservation, int bytes) {
        reservation.mBytes += bytes;
        mTotalBytes += bytes;
        reservation.mHolding.resize(reservation.mBytes);
        while (mTotalBytes > MAX_BYTES) {
            Reservation largest =
                    mReservations.stream().max(Comparator.comparing(r -> r.mBytes)).orElseThrow();
            largest.mAbort.run();
            close(largest);
        }
    }

    /** Releases a reservation; further calls have no effect. */
    void close(Reservation reservation) {
        reservation.mHolding.close();
        if (mReservations.remove(reservation)) {
            mTotalBytes -= reservation.mBytes;
        }
    }

    long totalBytes() {
        return mTotalBytes;
    }
}
