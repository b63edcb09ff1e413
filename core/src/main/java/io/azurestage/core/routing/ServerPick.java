package io.azurestage.core.routing;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

/** One attempt at a server; counts as in flight until its result is reported. */
final class ServerPick implements Pick {
    private final Server mServer;
    private final ServiceState mService;
    private final Endpoint mEndpoint;
    private final LongSupplier mClock;
    private final AtomicBoolean mDone = new AtomicBoolean();

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
        mServer.reportFaults(rate, mClock.getAsLong());
    }

    @Override
    public void done(AttemptResult result, long latencyNanos, double load) {
        if (!mDone.compareAndSet(false, true)) {
            return;
        }
        mServer.mInFlight.decrementAndGet();
        long now = mClock.getAsLong();
        if (load >= 0) {
            mServer.report(load, now);
        }
        switch (result) {
            case ANSWERED -> mService.answered(mServer, Math.max(0, latencyNanos), now);
            case FAILED -> mService.failed(mServer, now);
            case REFUSED -> mServer.refused(now);
            case DRAINING -> mService.draining(mServer, now);
            case CANCELLED -> {}
            default -> throw new IllegalArgumentException("unknown result " + result);
        }
    }
}
