package io.azurestage.node;

import io.azurestage.core.time.TimeSource;
import java.time.Instant;

/** Stops every thread that asks for the time, as a pause of the whole process does. */
final class PausableTimeSource implements TimeSource {
    private final TimeSource mTime;
    private boolean mHeld;

    PausableTimeSource(TimeSource time) {
        mTime = time;
    }

    synchronized void hold() {
        mHeld = true;
    }

    synchronized void resume() {
        mHeld = false;
        notifyAll();
    }

    private synchronized void awaitResumed() {
        boolean interrupted = false;
        while (mHeld) {
            try {
                wait();
            } catch (InterruptedException e) {
                interrupted = true;
                mHeld = false;
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
