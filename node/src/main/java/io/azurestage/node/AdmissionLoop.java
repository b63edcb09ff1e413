package io.azurestage.node;

import io.azurestage.config.MeshConfig;
import io.azurestage.core.admission.AdmissionController;
import io.azurestage.core.admission.Completion;
import io.azurestage.core.admission.Loan;
import io.azurestage.core.admission.PartnerClass;
import io.azurestage.core.admission.Work;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/** The thread that owns the admission controller. */
final class AdmissionLoop implements AutoCloseable {
    private static final int ARRIVALS = 8192;
    private static final Duration BUSY_TICK = Duration.ofMillis(10);
    // Waking up 100 times a second takes an idle node over its share of a core.
    private static final Duration IDLE_TICK = Duration.ofMillis(100);

    private final AdmissionController mController;
    private final EventLoop mDuty;
    private volatile Status mStatus = new Status(0, 0, 0, 0);

    /** What the controller looked like after its last step. */
    record Status(double load, int limit, int inFlight, int queued) {}

    AdmissionLoop(AdmissionController controller, int slots) {
        mController = controller;
        // Every admitted request completes once, so completions never exceed the slots in use. The
        // factor leaves room for configuration changes.
        mDuty =
                new EventLoop(
                        "admission", ARRIVALS, Math.max(64, 4 * slots), this::interval, this::tick);
    }

    void start() {
        mDuty.start();
    }

    /** Asks for admission; false if the ring is full, in which case the request is not run. */
    boolean offer(Work w) {
        return mDuty.offer(
                () -> {
                    mController.offer(w);
                    publish();
                });
    }

    void complete(Work w, Completion c) {
        mDuty.offerPriority(
                () -> {
                    mController.complete(w, c);
                    publish();
                });
    }

    /** Withdraws queued work, then runs the action if it was still queued. */
    void cancel(Work w, Runnable ifQueued) {
        mDuty.offer(
                () -> {
                    if (mController.cancel(w)) {
                        ifQueued.run();
                    }
                });
    }

    void configure(MeshConfig config) {
        mDuty.offerPriority(() -> mController.configure(config));
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

    private Duration interval() {
        boolean idle = mStatus.inFlight() == 0 && mStatus.queued() == 0;
        return idle ? IDLE_TICK : BUSY_TICK;
    }

    private void tick() {
        mController.tick();
        publish();
    }

    @Override
    public void close() {
        mDuty.close();
    }
}
