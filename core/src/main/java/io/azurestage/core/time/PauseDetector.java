package io.azurestage.core.time;

import java.time.Duration;
import java.util.Optional;

/**
 * Notices that this process stood still or fell behind, from the delay of its periodic tick. Not
 * thread-safe.
 */
public final class PauseDetector {
    /** Interval between ticks. */
    private static final Duration TICK = Duration.ofMillis(100);

    /** Shortest delay of a tick that counts as a pause. */
    private static final Duration MIN_PAUSE = Duration.ofMillis(300);

    /** Time after a pause in which messages are read that arrived during the pause. */
    private static final Duration SETTLING_TIME = Duration.ofMillis(100);

    private final TimeSource mTime;
    private Optional<Long> mLastTickNanos = Optional.empty();
    private Optional<Long> mResumedNanos = Optional.empty();

    /**
     * Creates a detector that has not seen a tick yet.
     *
     * @param time clock
     */
    public PauseDetector(TimeSource time) {
        mTime = time;
    }

    /**
     * Records a tick. Call it every 100 ms.
     *
     * @return the length of the pause that this tick ends, or empty if there was none
     */
    public Optional<Duration> tick() {
        Optional<Duration> pause = currentPause();
        long nowNanos = mTime.nanos();
        if (pause.isPresent()) {
            mResumedNanos = Optional.of(nowNanos);
        }
        mLastTickNanos = Optional.of(nowNanos);
        return pause;
    }

    /**
     * Reports whether messages that are read now may have arrived long ago.
     *
     * @return whether a pause has just ended
     */
    public boolean isSettling() {
        return currentPause().isPresent()
                || mResumedNanos
                        .filter(t -> elapsedSince(t).compareTo(SETTLING_TIME) < 0)
                        .isPresent();
    }

    /**
     * Reports whether a time span up to now includes a pause.
     *
     * @param startNanos start of the span, on the monotonic clock
     * @return whether a pause has ended since, or ends now
     */
    public boolean hasPausedSince(long startNanos) {
        return currentPause().isPresent()
                || mResumedNanos.filter(t -> t - startNanos > 0).isPresent();
    }

    private Optional<Duration> currentPause() {
        return mLastTickNanos
                .map(t -> elapsedSince(t).minus(TICK))
                .filter(p -> p.compareTo(MIN_PAUSE) >= 0);
    }

    private Duration elapsedSince(long nanos) {
        return Duration.ofNanos(mTime.nanos() - nanos);
    }
}
