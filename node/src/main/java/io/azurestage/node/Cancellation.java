package io.azurestage.node;

import java.util.ArrayList;
import java.util.List;

/** Cancellation signal of one request, raised when its caller disconnects. Thread-safe. */
final class Cancellation {
    private final List<Runnable> mHooks = new ArrayList<>();
    private boolean mCancelled;

    /** Runs the hook on cancellation, or immediately if already cancelled. */
    void onCancel(Runnable hook) {
        synchronized (this) {
            if (!mCancelled) {
                mHooks.add(hook);
                return;
            }
        }
        hook.run();
    }

    void cancel() {
        List<Runnable> hooks;
        synchronized (this) {
            if (mCancelled) {
                return;
            }
            mCancelled = true;
            hooks = List.copyOf(mHooks);
            mHooks.clear();
        }
        hooks.forEach(Runnable::run);
    }

    synchronized boolean isCancelled() {
        return mCancelled;
    }
}
