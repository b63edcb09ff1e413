package io.azurestage.core.admission;

import io.azurestage.config.MeshConfig;
import io.azurestage.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;

/**
 * Decides which requests a backend server runs. Not thread-safe: one duty owns it. {@link
 * #fractions()} alone may be called from any thread.
 */
public final class AdmissionController {
    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private final int mSlots;
    private final TimeSource mTime;
    private final Deque<Work> mQueue = new ArrayDeque<>();
    private int mInFlight;

    /**
     * Creates a controller.
     *
     * @param slots requests that the server can run at once, from the settings
     * @param time source of time
     */
    public AdmissionController(int slots, TimeSource time) {
        mSlots = slots;
        mTime = time;
    }

    /**
     * Puts a configuration in force.
     *
     * @param config shares and floors of the partners
     */
    public void configure(MeshConfig config) {}

    /**
     * Asks for admission. The work's listener hears the decision, now or later.
     *
     * @param w the request
     */
    public void offer(Work w) {
        if (mInFlight < mSlots) {
            mInFlight++;
            w.listener().run();
        } else if (mQueue.size() < mSlots) {
            mQueue.add(w);
        } else {
            w.listener().refuse(RefusalReason.OVERLOADED, RETRY_AFTER);
        }
    }

    /**
     * Ends an admitted request and frees its slot.
     *
     * @param w the request
     * @param c how it ended
     */
    public void complete(Work w, Completion c) {
        mInFlight--;
        Work next = mQueue.poll();
        if (next != null) {
            offer(next);
        }
    }

    /**
     * Withdraws a queued request whose caller went away. Its listener hears nothing.
     *
     * @param w the request
     * @return true if it was queued, false if it runs already or was refused
     */
    public boolean cancel(Work w) {
        return mQueue.remove(w);
    }

    /** Refuses queued work that waited too long and updates limits and levels. Call every 10 ms. */
    public void tick() {
        while (!mQueue.isEmpty() && mQueue.peek().deadlineNanos() - mTime.nanos() < 0) {
            mQueue.poll().listener().refuse(RefusalReason.DEADLINE_EXCEEDED, Duration.ZERO);
        }
    }

    /**
     * Returns the admitted fractions below 1.
     *
     * @return an immutable snapshot
     */
    public Map<PartnerClass, Double> fractions() {
        return Map.of();
    }

    /**
     * Returns the load for routing: requests in progress and queued over the limit.
     *
     * @return 0 when idle, 1 when all slots are busy, more with a queue
     */
    public double load() {
        return (mInFlight + mQueue.size()) / (double) mSlots;
    }
}
