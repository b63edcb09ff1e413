package io.azurestage.core.routing;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

/** An attempt at a server, counted as in flight until its result is reported. */
final class ServerPick implements Pick {
    private final Server mServer;
    private final ServiceState mService;
    private final Endpoint mEndpoint;
    private final LongSupplier mClock;
    private final AtomicBoolean mReported = new AtomicBoolean();

    ServerPick(Server server, ServiceState service, LongSupplier clock) {
        mServer = server;
        mService = service;
        mEndpoint = server.mEndpoint;
        mClock = clock;
        server.mInFlight.incrementAndGet();
    }

    @Override
    public Endpoint endpoint() {
        return mEndpoint;
    }

    @Override
    public void faults(double rate) {
        mServer.reportFaultRate(rate, mClock.getAsLong());
    }

    @Override
    public void divert(double fraction) {
        mServer.reportDiversion(fraction, mClock.getAsLong());
    }

    @Override
    public void done(AttemptResult result, long latencyNanos, double load) {
        if (!mReported.compareAndSet(false, true)) {
            return;
        }
        mServer.mInFlight.decrementAndGet();
        long now = mClock.getAsLong();
        if (load >= 0) {
            mServer.reportLoad(load, now);
        }
        switch (result) {
            case ANSWERED -> mService.recordAnswer(mServer, Math.max(0, latencyNanos), now);
            case FAILED -> mService.recordFailure(mServer, now);
            case REFUSED -> mServer.recordRefusal(now);
            case DRAINING -> mService.recordDraining(mServer, now);
            case CANCELLED -> {}
            default -> throw new IllegalArgumentException("unknown attempt result " + result);
        }
    }
}
