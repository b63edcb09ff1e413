package io.azurestage.bench.standin;

import io.azurestage.core.time.TimeSource;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * In-memory server for the part of etcd's v3 JSON API that azurestage uses, with fault injection.
 * It listens on loopback only. Thread-safe.
 *
 * <p>Example:
 *
 * <pre>{@code
 * try (StandInStore store = StandInStore.start()) {
 *     store.enableFaultForCalls(StandInStoreFault.APPLIED_ANSWER_LOST, 1);
 *     PlatformStore client = EtcdStore.connect(List.of(store.uri()), Duration.ofSeconds(2));
 * }
 * }</pre>
 *
 * <p>The control API on {@link #controlUri()} offers the same operations over HTTP, for example
 * {@code POST /control/fault?name=slow&on=true&delayMs=200}, {@code /control/compact}, {@code
 * /control/return?revision=7} and {@code /control/counters}.
 */
public final class StandInStore implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int THREADS = 16;
    private static final long LEASE_CHECK_MILLIS = 100;

    private final TimeSource mTime;
    private final StandInStoreFaults mFaults = new StandInStoreFaults();
    private final StandInStoreMeter mMeter = new StandInStoreMeter();
    private final StandInStoreOperations mOperations;
    private final Server mServer;
    private final ServerConnector mApi;
    private final ServerConnector mControl;

    private StandInStore(TimeSource time, int port, int controlPort) {
        mTime = time;
        mOperations = new StandInStoreOperations(time);
        QueuedThreadPool threads = new QueuedThreadPool(THREADS);
        threads.setName("stand-in-store");
        threads.setDaemon(true);
        mServer = new Server(threads);
        mApi = connector(port);
        mControl = connector(controlPort);
        mServer.setHandler(router());
    }

    /**
     * Starts a store on ephemeral ports with the system clock.
     *
     * @return a running store that the caller closes
     */
    public static StandInStore start() {
        return start(TimeSource.system(), 0, 0);
    }

    /**
     * Starts a store.
     *
     * @param time clock for leases and counters
     * @param port port of the API, 0 for any free one
     * @param controlPort port of the control API, 0 for any free one
     * @return a running store that the caller closes
     */
    public static StandInStore start(TimeSource time, int port, int controlPort) {
        StandInStore store = new StandInStore(time, port, controlPort);
        run(store.mServer::start);
        store.mApi.setPort(store.mApi.getLocalPort());
        store.scheduleLeaseCheck();
        return store;
    }

    /**
     * Returns the address of the API. It does not change while a fault keeps the port closed.
     *
     * @return base address
     */
    public URI uri() {
        return URI.create("http://" + HOST + ":" + mApi.getPort());
    }

    /**
     * Returns the address of the control API.
     *
     * @return base address
     */
    public URI controlUri() {
        return URI.create("http://" + HOST + ":" + mControl.getLocalPort());
    }

    /**
     * Enables a fault until it is disabled with {@link #disableFault}.
     *
     * @param fault fault to enable
     */
    public synchronized void enableFault(StandInStoreFault fault) {
        if (fault == StandInStoreFault.REFUSED) {
            run(mApi::stop);
            mOperations.endWatches(StandInStoreWatch::closeConnection);
        } else {
            mFaults.enable(fault);
        }
    }

    /**
     * Enables a fault for the next calls to which it applies.
     *
     * @param fault any fault but {@link StandInStoreFault#REFUSED}
     * @param calls number of affected calls
     * @throws IllegalArgumentException for {@link StandInStoreFault#REFUSED}
     */
    public void enableFaultForCalls(StandInStoreFault fault, long calls) {
        if (fault == StandInStoreFault.REFUSED) {
            throw new IllegalArgumentException(
                    "REFUSED cannot be limited to a number of calls; use on and off");
        }
        mFaults.enableForCalls(fault, calls);
    }

    /**
     * Disables a fault.
     *
     * @param fault fault to disable
     */
    public synchronized void disableFault(StandInStoreFault fault) {
        if (fault == StandInStoreFault.REFUSED) {
            run(mApi::start);
        } else {
            mFaults.disable(fault);
        }
    }

    /**
     * Sets how long {@link StandInStoreFault#SLOW} delays a call.
     *
     * @param delay delay of each call
     */
    public void delay(Duration delay) {
        mFaults.delay(delay);
    }

    /** Expires all leases immediately and removes their keys. */
    public void expireAllLeases() {
        mOperations.expireAllLeases();
    }

    /** Closes the connections of all open watches. */
    public void disconnectWatches() {
        mOperations.endWatches(StandInStoreWatch::closeConnection);
    }

    /** Ends all open watches with a cancel message. */
    public void cancelWatches() {
        mOperations.cancelWatches("cancelled by a fault");
    }

    /** Compacts the history up to the current revision. */
    public void compact() {
        mOperations.compact();
    }

    /**
     * Discards all writes after a revision and closes the connections of all watches, as a restore
     * from a backup does.
     *
     * @param revision revision to restore, from 1 to the current one
     * @throws IllegalArgumentException if the revision is outside that range
     */
    public void rollBackTo(long revision) {
        mOperations.rollBackTo(revision);
    }

    /**
     * Returns the current revision.
     *
     * @return revision of the last write in the whole store
     */
    public long revision() {
        return mOperations.revision();
    }

    /**
     * Returns the number of calls received since the start or the last reset.
     *
     * @return a snapshot of the counters
     */
    public StandInStoreCounters counters() {
        return mMeter.read();
    }

    /** Sets the counters to zero. */
    public void resetCounters() {
        mMeter.reset();
    }

    @Override
    public void close() {
        run(mServer::stop);
    }

    private ServerConnector connector(int port) {
        ServerConnector c = new ServerConnector(mServer, 1, 1);
        c.setHost(HOST);
        c.setPort(port);
        // A watch without events sends no data for a long time.
        c.setIdleTimeout(Duration.ofHours(1).toMillis());
        mServer.addConnector(c);
        return c;
    }

    private Handler router() {
        StandInStoreApi api = new StandInStoreApi(mOperations, mFaults, mMeter, mTime);
        StandInStoreControl control = new StandInStoreControl(this);
        return new Handler.Abstract() {
            @Override
            public boolean handle(Request request, Response response, Callback callback)
                    throws Exception {
                return request.getConnectionMetaData().getConnector() == mControl
                        ? control.handle(request, response, callback)
                        : api.handle(request, response, callback);
            }
        };
    }

    private void scheduleLeaseCheck() {
        mServer.getScheduler()
                .schedule(
                        () -> {
                            mOperations.expireLeases();
                            scheduleLeaseCheck();
                        },
                        LEASE_CHECK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private interface Action {
        void run() throws Exception;
    }

    private static void run(Action action) {
        try {
            action.run();
        } catch (Exception e) {
            throw new IllegalStateException("stand-in store failed: " + e.getMessage(), e);
        }
    }
}
