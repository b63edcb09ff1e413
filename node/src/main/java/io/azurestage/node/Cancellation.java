package io.azurestage.node;

import java.util.ArrayList;
import java.util.List;

/** Tells everything that works for one request that its caller went away. Thread-safe. */
final class Cancellation {
    private final List<Runnable> mHooks = new ArrayList<>();
    private boolean mCancelled;

    /** Runs the hook on cancellation, at once if that has already happened. */
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
