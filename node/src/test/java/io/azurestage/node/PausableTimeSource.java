package io.azurestage.node;

import io.azurestage.core.time.TimeSource;
import java.time.Instant;

/** Blocks every thread that reads the time while paused, to simulate a pause of the process. */
final class PausableTimeSource implements TimeSource {
    private final TimeSource mTime;
    private boolean mPaused;

    PausableTimeSource(TimeSource time) {
        mTime = time;
    }

    synchronized void hold() {
        mPaused = true;
    }

    synchronized void resume() {
        mPaused = false;
        notifyAll();
    }

    private synchronized void awaitResumed() {
        boolean interrupted = false;
        while (mPaused) {
            try {
                wait();
            } catch (InterruptedException e) {
                interrupted = true;
                mPaused = false;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public Instant now() {
        awaitResumed();
        return mTime.now();
    }

    @Override
    public long nanos() {
        awaitResumed();
        return mTime.nanos();
    }
}
