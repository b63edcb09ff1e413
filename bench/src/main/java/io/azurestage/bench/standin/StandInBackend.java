package io.azurestage.bench.standin;

import java.net.URI;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/**
 * A stand-in for a backend server: work waits in a slot for its service time and then calls the
 * next services. Hundreds of instances share one {@link StandInRuntime}.
 */
public final class StandInBackend implements AutoCloseable {
    private final BackendSpec mSpec;
    private final StandInRuntime mRuntime;
    private final WorkLedger mLedger;
    private final Server mServer;
    private final ServerConnector mConnector;
    private final SlotQueue mSlots;
    private final Faults mFaults = new Faults();
    private final SplittableRandom mRandom;
    private final AtomicInteger mInProgress = new AtomicInteger();
    private final AtomicLong mRuns = new AtomicLong();
    private volatile long mLastNewWorkNanos;
    private volatile Downstream mDownstream;

    private StandInBackend(BackendSpec spec, StandInRuntime runtime, WorkLedger ledger) {
        mSpec = spec;
        mRuntime = runtime;
        mLedger = ledger;
        mSlots = new SlotQueue(spec.slots(), spec.queue());
        mRandom = new SplittableRandom(spec.seed());
        mServer = runtime.newServer();
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        mConnector = new ServerConnector(mServer, 0, 1, new HttpConnectionFactory(http));
        mConnector.setHost("127.0.0.1");
        mConnector.setAcceptQueueSize(1024);
        mServer.addConnector(mConnector);
        mServer.setHandler(new BackendHandler(this));
    }

    /**
     * Starts a backend server on a free loopback port.
     *
     * @param spec its description
     * @param runtime shared threads, timers and HTTP client
     * @param ledger counts the work
     * @return the running server
     */
    public static StandInBackend start(
            BackendSpec spec, StandInRuntime runtime, WorkLedger ledger) {
        StandInBackend backend = new StandInBackend(spec, runtime, ledger);
        try {
            backend.mServer.start();
        } catch (Exception e) {
            throw new IllegalStateException("cannot start a stand-in backend: " + e, e);
        }
        return backend;
    }

    /**
     * Sets how this server calls the next services. Must be set before the first request if the
     * description names any.
     *
     * @param downstream way to the next services
     * @return this server
     */
    public StandInBackend downstream(Downstream downstream) {
        mDownstream = Objects.requireNonNull(downstream, "downstream");
        return this;
    }

    /**
     * Returns the address of this server.
     *
     * @return scheme, host and port
     */
    public URI address() {
        return URI.create("http://127.0.0.1:" + mConnector.getLocalPort());
    }

    /**
     * Returns the fault switches.
     *
     * @return switches that act at once
     */
    public Faults faults() {
        return mFaults;
    }

    /**
     * Returns the description of this server.
     *
     * @return the description given at the start
     */
    public BackendSpec spec() {
        return mSpec;
    }

    /**
     * Returns how many requests wait or run.
     *
     * @return requests in progress
     */
    public int inProgress() {
        return mInProgress.get();
    }

    /**
     * Returns how many executions were started.
     *
     * @return a count since the start
     */
    public long runs() {
        return mRuns.get();
    }

    /**
     * Returns when the last new request was accepted.
     *
     * @return a reading of {@link System#nanoTime()}, or 0 if there was none
     */
    public long lastNewWorkNanos() {
        return mLastNewWorkNanos;
    }

    /** Stops the server at once; requests in progress are cut off. */
    @Override
    public void close() {
        try {
            mServer.stop();
        } catch (Exception e) {
            throw new IllegalStateException("cannot stop a stand-in backend: " + e, e);
        }
    }

    StandInRuntime runtime() {
        return mRuntime;
    }

    WorkLedger ledger() {
        return mLedger;
    }

    SlotQueue slots() {
        return mSlots;
    }

    Downstream downstream() {
        return mDownstream;
    }

    void accepted() {
        mLastNewWorkNanos = System.nanoTime();
        mInProgress.incrementAndGet();
    }

    void ended() {
        mInProgress.decrementAndGet();
    }

    void runStarted() {
        mRuns.incrementAndGet();
    }

    long drawServiceNanos() {
        synchronized (mRandom) {
            return (long) (mSpec.time().nanos(mRandom) * mFaults.slowFactor());
        }
    }

    boolean chance(double fraction) {
        if (fraction <= 0) {
            return false;
        }
        synchronized (mRandom) {
            return mRandom.nextDouble() < fraction;
        }
    }
}
