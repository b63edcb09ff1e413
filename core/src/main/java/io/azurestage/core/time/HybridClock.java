package io.azurestage.core.time;

/**
 * Hybrid logical clock (Kulkarni et al., 2014): its readings are close to wall-clock time and
 * always later than every reading received before. Thread-safe.
 */
public final class HybridClock {
    private final TimeSource mTime;
    private HlcTime mLast = new HlcTime(0, 0);

    /**
     * Creates a clock.
     *
     * @param time source of physical time
     */
    public HybridClock(TimeSource time) {
        mTime = time;
    }

    /**
     * Reads the clock for a local event or a message to send.
     *
     * @return a reading later than all previous ones
     */
    public synchronized HlcTime tick() {
        long wallMillis = mTime.now().toEpochMilli();
        mLast =
                wallMillis > mLast.millis()
                        ? new HlcTime(wallMillis, 0)
                        : new HlcTime(mLast.millis(), mLast.counter() + 1);
        return mLast;
    }

    /**
     * Advances the clock past a reading received from another node.
     *
     * @param received the other node's reading
     * @return a reading later than the received one and all previous ones of this clock
     */
    public synchronized HlcTime receive(HlcTime received) {
        if (received.compareTo(mLast) > 0) {
            mLast = received;
        }
        return tick();
    }
}
