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
 * In-memory server of the part of etcd's v3 JSON API that azurestage uses, with faults. It listens
 * on loopback only. Thread-safe.
 *
 * <p>Example:
 *
 * <pre>{@code
 * try (StandInStore store = StandInStore.start()) {
 *     store.times(StandInStoreFault.APPLIED_ANSWER_LOST, 1);
 *     PlatformStore client = EtcdStore.connect(List.of(store.uri()), Duration.ofSeconds(2));
 * }
 * }</pre>
 *
 * <p>The control path on {@link #controlUri()} does the same over HTTP, for example {@code POST
 * /control/fault?name=slow&on=true&delayMs=200}, {@code /control/compact}, {@code
 * /control/return?revision=7} and {@code /control/counters}.
 */
public final class StandInStore implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int THREADS = 16;
    private static final long LEASE_CHECK_MILLIS = 100;

    private final TimeSource mTime;
    private final StandInStoreFaults mFaults = new StandInStoreFaults();
    private final StandInStoreMeter mMeter = new StandInStoreMeter();
    private final StandInStoreOperations mData;
    private final Server mServer;
    private final ServerConnector mApi;
    private final ServerConnector mControl;

    private StandInStore(TimeSource time, int port, int controlPort) {
        mTime = time;
        mData = new StandInStoreOperations(time);
        QueuedThreadPool threads = new QueuedThreadPool(THREADS);
        threads.setName("stand-in-store");
        threads.setDaemon(true);
        mServer = new Server(threads);
        mApi = connector(port);
        mControl = connector(controlPort);
        mServer.setHandler(router());
    }

    /**
     * Starts a store on ephemeral ports and the system's clock.
     *
     * @return a running store that the caller closes
     */
    public static StandInStore start() {
        return start(TimeSource.system(), 0, 0);
    }

    /**
     * Starts a store.
     *
     * @param time clock of leases and counters
     * @param port port of the API, 0 for any free one
     * @param controlPort port of the control path, 0 for any free one
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
     * Returns the address of the API. It stays the same while the port is closed by a fault.
     *
     * @return base address
     */
    public URI uri() {
        return URI.create("http://" + HOST + ":" + mApi.getPort());
    }

    /**
     * Returns the address of the control path.
     *
     * @return base address
     */
    public URI controlUri() {
        return URI.create("http://" + HOST + ":" + mControl.getLocalPort());
    }

    /**
     * Switches a fault on until it is switched off.
     *
     * @param fault the fault
     */
    public synchronized void on(StandInStoreFault fault) {
        if (fault == StandInStoreFault.REFUSED) {
            run(mApi::stop);
            mData.endWatches(StandInStoreWatch::cut);
        } else {
            mFaults.on(fault);
        }
    }

    /**
     * Switches a fault on for a number of calls that it can strike.
     *
     * @param fault any fault but {@link StandInStoreFault#REFUSED}
     * @param calls number of calls
     */
    public void times(StandInStoreFault fault, long calls) {
        if (fault == StandInStoreFault.REFUSED) {
            throw new IllegalArgumentException("REFUSED cannot be counted; use on and off");
        }
        mFaults.times(fault, calls);
    }

    /**
     * Switches a fault off.
     *
     * @param fault the fault
     */
    public synchronized void off(StandInStoreFault fault) {
        if (fault == StandInStoreFault.REFUSED) {
            run(mApi::start);
        } else {
            mFaults.off(fault);
        }
    }

    /**
     * Sets how long {@link StandInStoreFault#SLOW} holds a call back.
     *
     * @param delay delay of each call
     */
    public void delay(Duration delay) {
        mFaults.delay(delay);
    }

    /** Ends all leases at once and removes their keys. */
    public void lapseLeases() {
        mData.lapseLeases();
    }

    /** Cuts the connections of all waiting watches. */
    public void breakWatches() {
        mData.endWatches(StandInStoreWatch::cut);
    }

    /** Cancels all waiting watches with a message. */
    public void cancelWatches() {
        mData.cancelWatches("cancelled by a fault");
    }

    /** Compacts the history up to the current revision. */
    public void compact() {
        mData.compact();
    }

    /**
     * Loses all writes after a revision and cuts all watches, as a restore from a backup does.
     *
     * @param revision revision to return to
     */
    public void returnTo(long revision) {
        mData.returnTo(revision);
    }

    /**
     * Returns the current revision.
     *
     * @return revision of the whole store
     */
    public long revision() {
        return mData.revision();
    }

    /**
     * Returns the calls seen so far.
     *
     * @return counters
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
        // A waiting watch carries no data for a long time.
        c.setIdleTimeout(Duration.ofHours(1).toMillis());
        mServer.addConnector(c);
        return c;
    }

    private Handler router() {
        StandInStoreApi api = new StandInStoreApi(mData, mFaults, mMeter, mTime);
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
                            mData.expireLeases();
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
            throw new IllegalStateException("stand-in store: " + e.getMessage(), e);
        }
    }
}
