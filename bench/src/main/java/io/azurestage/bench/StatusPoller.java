package io.azurestage.bench;

import java.util.Collection;
import java.util.function.Supplier;

/** Polls the status of nodes on a background thread until closed. */
final class StatusPoller implements AutoCloseable {
    private final Thread mThread;
    private volatile boolean mClosed;

    StatusPoller(
            AdminClient admin,
            Supplier<Collection<NodeEndpoints>> nodes,
            ConfigWatch watch,
            long pauseMillis) {
        mThread =
                new Thread(
                        () -> {
                            while (!mClosed) {
                                watch.observe(
                                        admin.statuses(nodes.get()), System.currentTimeMillis());
                                Sleep.millis(pauseMillis);
                            }
                        },
                        "status-poller");
        mThread.setDaemon(true);
        mThread.start();
    }

    @Override
    public void close() {
        mClosed = true;
        try {
            mThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
