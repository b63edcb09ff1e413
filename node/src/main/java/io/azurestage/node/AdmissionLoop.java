package io.azurestage.node;

import io.azurestage.config.MeshConfig;
import io.azurestage.core.admission.AdmissionController;
import io.azurestage.core.admission.AdmissionRequest;
import io.azurestage.core.admission.Completion;
import io.azurestage.core.admission.Loan;
import io.azurestage.core.admission.PartnerClass;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/** Runs the admission controller on an event loop thread of its own. */
final class AdmissionLoop implements AutoCloseable {
    private static final int ARRIVAL_QUEUE_CAPACITY = 8192;
    private static final Duration BUSY_TICK_INTERVAL = Duration.ofMillis(10);
    // 100 wake-ups per second would exceed the processor share allowed to an idle node.
    private static final Duration IDLE_TICK_INTERVAL = Duration.ofMillis(100);

    private final AdmissionController mController;
    private final EventLoop mEventLoop;
    private volatile Status mStatus = new Status(0, 0, 0, 0);

    /** A snapshot of the controller after its last step. */
    record Status(double load, int limit, int inFlight, int queued) {}

    AdmissionLoop(AdmissionController controller, int slots) {
        mController = controller;
        // Every admitted request completes once, so pending completions never exceed the slots in
        // use. The factor leaves room for configuration changes.
        mEventLoop =
                new EventLoop(
                        "admission",
                        ARRIVAL_QUEUE_CAPACITY,
                        Math.max(64, 4 * slots),
                        this::tickInterval,
                        this::tick);
    }

    void start() {
        mEventLoop.start();
    }

    /** Requests admission. Returns false if the queue is full; the request is then not run. */
    boolean offer(AdmissionRequest w) {
        return mEventLoop.offer(
                () -> {
                    mController.offer(w);
                    publish();
                });
    }

    void complete(AdmissionRequest w, Completion c) {
        mEventLoop.offerPriority(
                () -> {
                    mController.complete(w, c);
                    publish();
                });
    }

    /** Cancels work, and runs the action if the work was still waiting for admission. */
    void cancel(AdmissionRequest w, Runnable ifQueued) {
        mEventLoop.offer(
                () -> {
                    if (mController.cancel(w)) {
                        ifQueued.run();
                    }
                });
    }

    void configure(MeshConfig config) {
        mEventLoop.offerPriority(() -> mController.configure(config));
    }

    Map<PartnerClass, Double> fractions() {
        return mController.fractions();
    }

    double load() {
        return mStatus.load();
    }

    Status status() {
        return mStatus;
    }

    List<Loan> loans() {
        return mController.loans();
    }

    private void publish() {
        mStatus =
                new Status(
                        mController.load(),
                        mController.limit(),
                        mController.inFlight(),
                        mController.queued());
    }

    private Duration tickInterval() {
        boolean idle = mStatus.inFlight() == 0 && mStatus.queued() == 0;
        return idle ? IDLE_TICK_INTERVAL : BUSY_TICK_INTERVAL;
    }

    private void tick() {
        mController.tick();
        publish();
    }

    @Override
    public void close() {
        mEventLoop.close();
    }
}
