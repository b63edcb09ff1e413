package io.azurestage.relay.fleet;

/** Runs an action at its first call, and ignores further calls. Not thread-safe. */
final class RunOnce implements Runnable {
    private final Runnable mAction;
    private boolean mRan;

    RunOnce(Runnable action) {
        mAction = action;
    }

    boolean hasRun() {
        return mRan;
    }

    @Override
    public void run() {
        if (!mRan) {
            mRan = true;
            mAction.run();
        }
    }
}
