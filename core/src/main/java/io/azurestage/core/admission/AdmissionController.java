package io.azurestage.core.admission;

import io.azurestage.config.MeshConfig;
import io.azurestage.config.WorkClass;
import io.azurestage.core.time.TimeSource;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Decides which requests a backend server runs. Not thread-safe: one duty owns it. {@link
 * #fractions()} and {@link #loans()} alone may be called from any thread.
 *
 * <p>Example:
 *
 * <pre>{@code
 * AdmissionController admission = new AdmissionController(130, TimeSource.system());
 * admission.configure(config);
 * admission.offer(work); // the listener of the work hears run() or refuse()
 * admission.complete(work, new Completion(totalNanos, ownNanos, Completion.Outcome.ANSWERED));
 * admission.tick(); // every 10 ms
 * }</pre>
 */
public final class AdmissionController {
    /**
     * Wait at one service that callers of deep chains can bear: a chain makes some five calls one
     * after the other, and its timeout may be only 800 ms.
     */
    private static final Duration DEEP_TARGET = Duration.ofMillis(20);

    /** Work that takes long may wait longer: for a quarter of a usual answer. */
    private static final double DEEP_TARGET_SERVICE_TIMES = 0.25;

    /** A deep chain's queue feeds those of all services above it, so it is drained faster. */
    private static final Duration DEEP_HORIZON = Duration.ofMillis(150);

    /** Slots are idle for as long as an admitted chain has not reached them, so growth is slow. */
    private static final double DEEP_GROWTH = 0.1;

    private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Part of the slots in use from which a queue may form between two calls of tick. */
    private static final double PRESSED_PART = 0.5;

    private final TimeSource mTime;
    private final Tuning mTuning;
    private final PartnerTable mPartners = new PartnerTable();
    private final Map<Work, Waiting> mQueued = new HashMap<>();
    private final Map<Work, Waiting> mRunning = new HashMap<>();
    private final ConcurrencyLimit mLimit;
    private final OfferedWork mAll;

    /** The part of it that calls of running requests make. */
    private final OfferedWork mCalls;

    private final WorkQueue mQueue;
    private final WaitBound mWaitBound;
    private final CapacityOffer mOffer;
    private final LoanBook mLoanBook;
    private final int mSlots;
    private long mSequence;
    private long mWindowStart;
    private long mLastTick;
    private volatile FractionPlan.Fractions mFractions = FractionPlan.Fractions.NONE;
    private volatile List<Loan> mLoans = List.of();

    /**
     * Creates a controller that reports no loans.
     *
     * @param slots requests that the server can run at once, from the settings
     * @param time source of time
     * @throws IllegalArgumentException if there is no slot
     */
    public AdmissionController(int slots, TimeSource time) {
        this(slots, time, (lender, borrower, workClass, lent) -> {});
    }

    /**
     * Creates a controller.
     *
     * @param slots requests that the server can run at once, from the settings
     * @param time source of time
     * @param loans hears when a loan starts, changes or ends
     * @throws IllegalArgumentException if there is no slot
     */
    public AdmissionController(int slots, TimeSource time, LoanListener loans) {
        this(slots, time, loans, Tuning.DEFAULT);
    }

    /**
     * Creates a controller that uses all slots at all times. It suits servers whose answers take
     * long because of the calls that they wait for, which is no sign of too much concurrency.
     *
     * @param slots requests that the server can run at once
     * @param time source of time
     * @return the controller
     * @throws IllegalArgumentException if there is no slot
     */
    public static AdmissionController withFixedLimit(int slots, TimeSource time) {
        Tuning t = Tuning.DEFAULT;
        Tuning fixed =
                new Tuning(
                        false,
                        QueueOrder.RANK,
                        DEEP_TARGET,
                        DEEP_TARGET_SERVICE_TIMES,
                        DEEP_HORIZON,
                        DEEP_GROWTH);
        return new AdmissionController(slots, time, (lender, borrower, c, lent) -> {}, fixed);
    }

    AdmissionController(int slots, TimeSource time, LoanListener loans, Tuning tuning) {
        if (slots < 1) {
            throw new IllegalArgumentException("slots is " + slots + "; set it to at least 1");
        }
        mSlots = slots;
        mTime = Objects.requireNonNull(time, "time");
        mTuning = tuning;
        long now = time.nanos();
        mLimit = new ConcurrencyLimit(slots, now);
        mAll = new OfferedWork(now);
        mCalls = new OfferedWork(now);
        mQueue = new WorkQueue(tuning.order());
        mWaitBound = new WaitBound(tuning, slots, now);
        mOffer = new CapacityOffer(tuning);
        mLoanBook = new LoanBook(mPartners, Objects.requireNonNull(loans, "loans"));
        mWindowStart = now;
        mLastTick = now;
    }

    /**
     * Puts a configuration in force.
     *
     * @param config shares and floors of the partners
     */
    public void configure(MeshConfig config) {
        mPartners.configure(config, mTime.nanos());
    }

    /**
     * Asks for admission. The work's listener hears the decision, now or later.
     *
     * @param w the request
     */
    public void offer(Work w) {
        long now = mTime.nanos();
        PartnerState p = mPartners.of(w.partner(), now);
        p.arrived(w.workClass().ordinal(), now);
        PartnerClass key = new PartnerClass(p.name(), w.workClass());
        mAll.arrived(key, w.entryFraction());
        if (w.inProgress()) {
            mCalls.arrived(key, w.entryFraction());
        }
        Waiting waiting = new Waiting(w, p, now, mSequence++);
        if (isLate(waiting, expectedWait(waiting, now), now)) {
            refuse(waiting, RefusalReason.DEADLINE_EXCEEDED, now);
            return;
        }
        mWaitBound.observe(mQueue, now);
        mQueued.put(w, waiting);
        mQueue.add(waiting);
        dispatch(now);
        trim(now);
    }

    /**
     * Ends an admitted request and frees its slot.
     *
     * @param w the request
     * @param c how it ended
     * @throws IllegalArgumentException if the request is not running; complete each request once,
     *     and only after its listener heard {@link WorkListener#run()}
     */
    public void complete(Work w, Completion c) {
        Waiting running = mRunning.remove(w);
        if (running == null) {
            throw new IllegalArgumentException("the request is not running; complete it only once");
        }
        long now = mTime.nanos();
        running.partner().usage(running.classIndex()).end(now);
        mAll.ended(running, c, now);
        if (w.inProgress()) {
            mCalls.ended(running, c, now);
        }
        mLimit.completed(c, mRunning.size());
        dispatch(now);
    }

    /**
     * Withdraws a queued request whose caller went away. Its listener hears nothing.
     *
     * @param w the request
     * @return true if it was queued, false if it runs already or was refused
     */
    public boolean cancel(Work w) {
        Waiting waiting = mQueued.remove(w);
        if (waiting == null) {
            return false;
        }
        mQueue.remove(waiting);
        // The withdrawn request may have kept less important work from starting.
        dispatch(mTime.nanos());
        return true;
    }

    /**
     * Refuses queued work that waited too long and updates limits and levels. Call it every 10 ms
     * while the server is {@link #isPressed() pressed}, and every 100 ms otherwise.
     */
    public void tick() {
        long now = mTime.nanos();
        double busy = mRunning.size() / (double) limit();
        mOffer.observe(drainNanos(now), busy, now - mLastTick);
        mLastTick = now;
        if (now - mWindowStart >= WINDOW_NANOS) {
            roll(now);
        }
        for (Waiting w : mQueue.select(w -> isLate(w, 0, now))) {
            drop(w, RefusalReason.DEADLINE_EXCEEDED, now);
        }
        dispatch(now);
        shedOverdue(now);
        trim(now);
    }

    /**
     * Reports whether work waits or may soon have to: decisions then depend on when {@link #tick}
     * is called.
     *
     * @return whether the server is near its limit
     */
    public boolean isPressed() {
        return mQueue.size() > 0 || mRunning.size() >= PRESSED_PART * limit();
    }

    /**
     * Returns the admitted fractions below 1.
     *
     * @return an immutable snapshot
     */
    public Map<PartnerClass, Double> fractions() {
        return mFractions.ofAll();
    }

    /**
     * Returns the admitted fractions of chains whose running requests make calls here. Their calls
     * go first in their class, so other work alone does not limit them.
     *
     * @return the fractions below 1
     */
    public Map<PartnerClass, Double> callFractions() {
        return mFractions.ofCalls();
    }

    /**
     * Returns the loans in force.
     *
     * @return an immutable snapshot
     */
    public List<Loan> loans() {
        return mLoans;
    }

    /**
     * Returns the load for routing: requests in progress and queued over the limit.
     *
     * @return 0 when idle, 1 when all slots are busy, more with a queue
     */
    public double load() {
        return (mRunning.size() + mQueue.size()) / (double) limit();
    }

    /**
     * Returns the concurrency limit in force.
     *
     * @return at least 1, at most the slots
     */
    public int limit() {
        return mTuning.adaptiveLimit() ? mLimit.limit() : mSlots;
    }

    /**
     * Returns the requests in progress.
     *
     * @return number of held slots
     */
    public int inFlight() {
        return mRunning.size();
    }

    /**
     * Returns the requests that wait.
     *
     * @return length of the queue
     */
    public int queued() {
        return mQueue.size();
    }

    private void dispatch(long now) {
        Waiting next = next(now);
        while (next != null) {
            if (isLate(next, 0, now)) {
                drop(next, RefusalReason.DEADLINE_EXCEEDED, now);
            } else {
                start(next, now);
            }
            next = next(now);
        }
        mWaitBound.observe(mQueue, now);
    }

    private Waiting next(long now) {
        int limit = limit();
        int free = limit - mRunning.size();
        if (free <= 0 || mQueue.size() == 0) {
            return null;
        }
        return mQueue.next((p, c) -> mPartners.mayStart(p, c, free, limit, now), now);
    }

    private void start(Waiting w, long now) {
        mQueue.remove(w);
        mQueued.remove(w.work());
        mRunning.put(w.work(), w);
        mAll.started(now);
        if (w.work().inProgress()) {
            mCalls.started(now);
        }
        w.partner().usage(w.classIndex()).start(now);
        w.work().listener().run();
    }

    private void shedOverdue(long now) {
        double mean = meanNanos(now);
        int overdue =
                mQueue.select(
                                w -> {
                                    if (w.work().inProgress()) {
                                        return false;
                                    }
                                    double allowed =
                                            mWaitBound.allowedNanos(w.classIndex(), mean, now);
                                    return now - w.arrivedNanos() > allowed;
                                })
                        .size();
        for (int i = 0; i < overdue; i++) {
            shedOne(now);
        }
    }

    private void trim(long now) {
        double mean = meanNanos(now);
        while (mQueue.size() > 0) {
            Waiting worst = leastEntitled(now);
            if (worst.work().inProgress()) {
                return;
            }
            int most = mWaitBound.maxLength(worst.classIndex(), limit(), mean, now);
            if (mQueue.size() <= most) {
                return;
            }
            drop(worst, shedReason(worst, now), now);
        }
    }

    private void shedOne(long now) {
        Waiting worst = leastEntitled(now);
        if (worst != null && !worst.work().inProgress()) {
            drop(worst, shedReason(worst, now), now);
        }
    }

    private Waiting leastEntitled(long now) {
        return mQueue.leastEntitled(this::fraction, now);
    }

    private double fraction(PartnerState p, int classIndex) {
        WorkClass c = WorkClass.values()[classIndex];
        return mFractions.ofAll().getOrDefault(new PartnerClass(p.name(), c), 1.0);
    }

    private RefusalReason shedReason(Waiting w, long now) {
        double used = w.partner().usage(w.classIndex()).average(now);
        boolean alone = mPartners.all().size() < 2;
        return !alone && used >= mPartners.part(w.partner(), limit())
                ? RefusalReason.SHARE_EXHAUSTED
                : RefusalReason.OVERLOADED;
    }

    private void drop(Waiting w, RefusalReason reason, long now) {
        mQueue.remove(w);
        mQueued.remove(w.work());
        refuse(w, reason, now);
    }

    private void refuse(Waiting w, RefusalReason reason, long now) {
        double drain = drainNanos(now);
        double fraction = fraction(w.partner(), w.classIndex());
        Duration retryAfter = RetryAfter.estimate(drain, fraction, w.work().rank());
        w.work().listener().refuse(reason, retryAfter);
    }

    private double expectedWait(Waiting w, long now) {
        int limit = limit();
        double ahead = mQueue.ahead(w.partner(), w.classIndex()) + 1 + mRunning.size() - limit;
        return Math.max(0, ahead) * meanNanos(now) / limit;
    }

    private boolean isLate(Waiting w, double waitNanos, long now) {
        double needed = mAll.forDeadline(w, now) + waitNanos;
        long left = w.work().deadlineNanos() - now;
        return left <= 0 || left < needed;
    }

    private double drainNanos(long now) {
        return mQueue.size() * meanNanos(now) / limit();
    }

    private double meanNanos(long now) {
        return mAll.meanNanos(now);
    }

    private void roll(long now) {
        double seconds = (now - mWindowStart) / 1e9;
        mWindowStart = now;
        mAll.roll(seconds, now);
        mCalls.roll(seconds, now);
        mLimit.roll(now);
        mPartners.dropIdle(now);
        double capacity = mOffer.roll(limit(), mWaitBound.targetNanos(meanNanos(now)));
        mFractions =
                FractionPlan.compute(
                        mPartners,
                        k -> mAll.demand(k, now),
                        k -> mCalls.demand(k, now),
                        limit(),
                        capacity,
                        now);
        mLoans = mLoanBook.update(limit(), now);
    }
}
