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
 * Simulated backend server. A request holds a slot for its service time and then calls the next
 * services. Hundreds of instances can share one {@link StandInRuntime}.
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
    private final AtomicLong mExecutions = new AtomicLong();
    private volatile long mLastAcceptedNanos;
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
     * @param spec configuration of the server
     * @param runtime shared thread pool, timers and HTTP client
     * @param ledger records the work done
     * @return the running server, which the caller closes
     */
    public static StandInBackend start(
            BackendSpec spec, StandInRuntime runtime, WorkLedger ledger) {
        StandInBackend backend = new StandInBackend(spec, runtime, ledger);
        try {
            backend.mServer.start();
        } catch (Exception e) {
            throw new IllegalStateException("cannot start stand-in backend: " + e, e);
        }
        return backend;
    }

    /**
     * Sets how this server calls the next services. Must be set before the first request if the
     * {@link BackendSpec} names any.
     *
     * @param downstream client for the next services
     * @return this server
     */
    public StandInBackend downstream(Downstream downstream) {
        mDownstream = Objects.requireNonNull(downstream, "downstream");
        return this;
    }

    /**
     * Returns the base address of this server.
     *
     * @return scheme, host and port
     */
    public URI address() {
        return URI.create("http://127.0.0.1:" + mConnector.getLocalPort());
    }

    /**
     * Returns the fault injection settings.
     *
     * @return settings that take effect immediately
     */
    public Faults faults() {
        return mFaults;
    }

    /**
     * Returns the configuration of this server.
     *
     * @return the configuration given at the start
     */
    public BackendSpec spec() {
        return mSpec;
    }

    /**
     * Returns how many requests are queued or executing.
     *
     * @return requests in progress
     */
    public int inProgress() {
        return mInProgress.get();
    }

    /**
     * Returns how many request executions were started.
     *
     * @return number of executions since the start of the server
     */
    public long executions() {
        return mExecutions.get();
    }

    /**
     * Returns when the most recent request was accepted.
     *
     * @return a reading of {@link System#nanoTime()}, or 0 if no request was accepted
     */
    public long lastNewWorkNanos() {
        return mLastAcceptedNanos;
    }

    /** Stops the server immediately; requests in progress are aborted. */
    @Override
    public void close() {
        try {
            mServer.stop();
        } catch (Exception e) {
            throw new IllegalStateException("cannot stop stand-in backend: " + e, e);
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

    void requestAccepted() {
        mLastAcceptedNanos = System.nanoTime();
        mInProgress.incrementAndGet();
    }

    void requestEnded() {
        mInProgress.decrementAndGet();
    }

    void executionStarted() {
        mExecutions.incrementAndGet();
    }

    long sampleServiceNanos() {
        synchronized (mRandom) {
            return (long) (mSpec.time().nanos(mRandom) * mFaults.slowFactor());
        }
    }

    boolean drawFault(double fraction) {
        if (fraction <= 0) {
            return false;
        }
        synchronized (mRandom) {
            return mRandom.nextDouble() < fraction;
        }
    }
}
