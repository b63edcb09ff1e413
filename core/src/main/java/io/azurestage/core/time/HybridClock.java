package io.azurestage.core.time;

/**
 * Hybrid logical clock (Kulkarni et al., 2014): close to wall-clock time, and never earlier than a
 * reading that was received. Thread-safe.
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
     * @return a reading later than every earlier one
     */
    public synchronized HlcTime tick() {
        long wall = mTime.now().toEpochMilli();
        mLast =
                wall > mLast.millis()
                        ? new HlcTime(wall, 0)
                        : new HlcTime(mLast.millis(), mLast.counter() + 1);
        return mLast;
    }

    /**
     * Advances the clock past a reading received from another node.
     *
     * @param received the other node's reading
     * @return a reading later than both clocks
     */
    public synchronized HlcTime receive(HlcTime received) {
        if (received.compareTo(mLast) > 0) {
            mLast = received;
        }
        return tick();
    }
}
