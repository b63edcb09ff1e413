package io.azurestage.core.admission;

import io.azurestage.config.MeshConfig;
import io.azurestage.config.WorkClass;
import io.azurestage.core.time.TimeSource;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * Decides which requests a backend server runs. Not thread-safe: calls must be serialized by the
 * owner. Only {@link #fractions()} and {@link #loans()} may be called from any thread.
 *
 * <p>Example:
 *
 * <pre>{@code
 * AdmissionController admission = new AdmissionController(130, TimeSource.system());
 * admission.configure(config);
 * admission.offer(work); // calls onAdmitted() or onRefused() of the listener
 * admission.complete(work, new Completion(totalNanos, ownNanos, Completion.Outcome.ANSWERED));
 * admission.tick(); // every 10 ms
 * }</pre>
 */
public final class AdmissionController {
    /**
     * Target for the queueing delay at each service of a deep call chain: a chain makes about five
     * sequential calls, and its timeout may be as short as 800 ms.
     */
    private static final Duration DEEP_TARGET = Duration.ofMillis(20);

    /** The same target in mean service times, so that long-running work may wait longer. */
    private static final double DEEP_TARGET_SERVICE_TIMES = 0.25;

    /** A queue at a deep service lengthens the queues of all its callers, so it drains faster. */
    private static final Duration DEEP_HORIZON = Duration.ofMillis(150);

    /** Slots stay idle until the admitted chains reach this service, so growth is slow. */
    private static final double DEEP_GROWTH = 0.1;

    private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Ratio of slots in use from which a queue may form between two calls of tick. */
    private static final double PRESSURE_RATIO = 0.5;

    private final TimeSource mTime;
    private final AdmissionParameters mParameters;
    private final PartnerTable mPartners = new PartnerTable();
    private final Map<AdmissionRequest, TrackedRequest> mQueued = new HashMap<>();
    private final Map<AdmissionRequest, TrackedRequest> mRunning = new HashMap<>();
    private final ConcurrencyLimit mLimit;
    private final DemandEstimator mAllWork;

    /** The part of mAllWork that consists of calls made by running requests. */
    private final DemandEstimator mCallWork;

    private final WorkQueue mQueue;
    private final QueueDelayLimit mQueueDelayLimit;
    private final OfferedCapacity mOfferedCapacity;
    private final LoanTracker mLoanTracker;
    private final StartRateLimit mStartRate = new StartRateLimit();
    private final Diversion mDiversion;
    private final int mSlots;
    private long mSequence;
    private long mWindowStart;
    private long mLastTick;
    private volatile CapacityAllocator.Fractions mFractions = CapacityAllocator.Fractions.NONE;
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
     * @param loans notified when a loan starts, changes or ends
     * @throws IllegalArgumentException if there is no slot
     */
    public AdmissionController(int slots, TimeSource time, LoanListener loans) {
        this(slots, time, loans, AdmissionParameters.DEFAULT);
    }

    /**
     * Creates a controller whose concurrency limit is always the number of slots. Use it for
     * servers that spend most of their time waiting for calls of their own: their high latency does
     * not indicate too much concurrency.
     *
     * @param slots requests that the server can run at once
     * @param time source of time
     * @return the controller
     * @throws IllegalArgumentException if there is no slot
     */
    public static AdmissionController withFixedLimit(int slots, TimeSource time) {
        AdmissionParameters defaults = AdmissionParameters.DEFAULT;
        AdmissionParameters fixed =
                new AdmissionParameters(
                        false,
                        QueueOrder.RANK,
                        DEEP_TARGET,
                        DEEP_TARGET_SERVICE_TIMES,
                        DEEP_HORIZON,
                        DEEP_GROWTH);
        return new AdmissionController(slots, time, (lender, borrower, c, lent) -> {}, fixed);
    }

    AdmissionController(
            int slots, TimeSource time, LoanListener loans, AdmissionParameters parameters) {
        if (slots < 1) {
            throw new IllegalArgumentException(
                    "invalid number of slots: " + slots + "; must be at least 1");
        }
        mSlots = slots;
        mTime = Objects.requireNonNull(time, "time");
        mParameters = parameters;
        long now = time.nanos();
        mLimit = new ConcurrencyLimit(slots, now);
        mAllWork = new DemandEstimator(now);
        mCallWork = new DemandEstimator(now);
        mQueue = new WorkQueue(parameters.order());
        mQueueDelayLimit = new QueueDelayLimit(parameters, slots, now);
        mOfferedCapacity = new OfferedCapacity(parameters);
        mLoanTracker = new LoanTracker(mPartners, Objects.requireNonNull(loans, "loans"));
        mDiversion = new Diversion(now);
        mWindowStart = now;
        mLastTick = now;
    }

    /**
     * Applies a configuration.
     *
     * @param config shares and floors of the partners
     */
    public void configure(MeshConfig config) {
        mPartners.configure(config, mTime.nanos());
    }

    /**
     * Sets the rate limit that the server states. It applies to requests that start from now on.
     *
     * @param perSecond requests per second, empty if there is no limit
     */
    public void limitRate(OptionalDouble perSecond) {
        mStartRate.set(perSecond, mTime.nanos());
    }

    /**
     * Returns the fraction of the requests for this server that should be placed on other servers,
     * because it states a rate limit.
     *
     * @return a number in [0,1), 0 without a limit
     */
    public double divertedFraction() {
        return mDiversion.fraction();
    }

    /**
     * Requests admission. The listener of the work is notified of the decision, during this call or
     * later.
     *
     * @param w the request
     */
    public void offer(AdmissionRequest w) {
        long now = mTime.nanos();
        PartnerState p = mPartners.getOrAdd(w.partner(), now);
        p.arrived(w.workClass().ordinal(), now);
        PartnerClass key = new PartnerClass(p.name(), w.workClass());
        mDiversion.arrived();
        mAllWork.arrived(key, w.entryFraction());
        if (w.inProgress()) {
            mCallWork.arrived(key, w.entryFraction());
        }
        TrackedRequest request = new TrackedRequest(w, p, now, mSequence++);
        if (isLate(request, expectedWait(request, now), now)) {
            refuse(request, RefusalReason.DEADLINE_EXCEEDED, now);
            return;
        }
        mQueueDelayLimit.observe(mQueue, now);
        mQueued.put(w, request);
        mQueue.add(request);
        dispatch(now);
        enforceQueueLength(now);
    }

    /**
     * Completes an admitted request and releases its slot.
     *
     * @param w the request
     * @param c how it ended
     * @throws IllegalArgumentException if the request is not running; complete each request once,
     *     and only after {@link AdmissionListener#onAdmitted()} was called for it
     */
    public void complete(AdmissionRequest w, Completion c) {
        TrackedRequest request = mRunning.remove(w);
        if (request == null) {
            throw new IllegalArgumentException("the request is not running; complete it only once");
        }
        long now = mTime.nanos();
        request.partner().usage(request.classIndex()).end(now);
        mAllWork.ended(request, c, now);
        if (w.inProgress()) {
            mCallWork.ended(request, c, now);
        }
        mLimit.completed(c, mRunning.size());
        dispatch(now);
    }

    /**
     * Removes a queued request whose caller has disconnected. Its listener is not notified.
     *
     * @param w the request
     * @return true if it was queued, false if it is already running or was refused
     */
    public boolean cancel(AdmissionRequest w) {
        TrackedRequest request = mQueued.remove(w);
        if (request == null) {
            return false;
        }
        mQueue.remove(request);
        // The cancelled request may have blocked work of lower classes from starting.
        dispatch(mTime.nanos());
        return true;
    }

    /**
     * Refuses queued work that has waited too long and updates limits and levels. Call this every
     * 10 ms while {@link #isPressed()} is true, and every 100 ms otherwise.
     */
    public void tick() {
        long now = mTime.nanos();
        double utilization = mRunning.size() / usableSlots(now);
        mDiversion.tick(mStartRate.perSecond(), now);
        mOfferedCapacity.observe(drainTimeNanos(now), utilization, now - mLastTick);
        mLastTick = now;
        if (now - mWindowStart >= WINDOW_NANOS) {
            endWindow(now);
        }
        for (TrackedRequest w : mQueue.findAll(w -> isLate(w, 0, now))) {
            drop(w, RefusalReason.DEADLINE_EXCEEDED, now);
        }
        dispatch(now);
        shedOverdue(now);
        enforceQueueLength(now);
    }

    /**
     * Reports whether work is queued or may be soon. Decisions then depend on when {@link #tick} is
     * called.
     *
     * @return whether the server is near its limit
     */
    public boolean isPressed() {
        return mQueue.size() > 0 || mRunning.size() >= PRESSURE_RATIO * limit();
    }

    /**
     * Returns the admitted fractions below 1; a missing key stands for 1.
     *
     * @return an immutable snapshot
     */
    public Map<PartnerClass, Double> fractions() {
        return mFractions.all();
    }

    /**
     * Returns the admitted fractions of chains whose running requests call this server. Such calls
     * take precedence within their class, so other work of the class does not reduce their
     * fractions.
     *
     * @return the fractions below 1
     */
    public Map<PartnerClass, Double> callFractions() {
        return mFractions.calls();
    }

    /**
     * Returns the active loans.
     *
     * @return an immutable snapshot
     */
    public List<Loan> loans() {
        return mLoans;
    }

    /**
     * Returns the load for routing: running and queued requests divided by the limit.
     *
     * @return 0 when idle, 1 when all slots are busy, more with a queue
     */
    public double load() {
        return (mRunning.size() + mQueue.size()) / Math.max(1, usableSlots(mTime.nanos()));
    }

    /**
     * Returns the current concurrency limit.
     *
     * @return at least 1, at most the number of slots
     */
    public int limit() {
        return mParameters.adaptiveLimit() ? mLimit.limit() : mSlots;
    }

    /**
     * Returns the number of running requests.
     *
     * @return slots in use
     */
    public int inFlight() {
        return mRunning.size();
    }

    /**
     * Returns the number of queued requests.
     *
     * @return length of the queue
     */
    public int queued() {
        return mQueue.size();
    }

    private void dispatch(long now) {
        TrackedRequest next = next(now);
        while (next != null) {
            if (isLate(next, 0, now)) {
                drop(next, RefusalReason.DEADLINE_EXCEEDED, now);
            } else {
                start(next, now);
            }
            next = next(now);
        }
        mQueueDelayLimit.observe(mQueue, now);
    }

    private TrackedRequest next(long now) {
        int limit = limit();
        int free = limit - mRunning.size();
        if (free <= 0 || mQueue.size() == 0 || !mStartRate.mayStart(now)) {
            return null;
        }
        return mQueue.next((p, c) -> mPartners.mayStart(p, c, free, limit, now), now);
    }

    private void start(TrackedRequest w, long now) {
        mQueue.remove(w);
        mQueued.remove(w.work());
        mRunning.put(w.work(), w);
        mStartRate.started(now);
        mAllWork.started(now);
        if (w.work().inProgress()) {
            mCallWork.started(now);
        }
        w.partner().usage(w.classIndex()).start(now);
        w.work().listener().onAdmitted();
    }

    private void shedOverdue(long now) {
        double mean = meanServiceNanos(now);
        int overdue =
                mQueue.findAll(
                                w -> {
                                    if (waitsForSlot(w)) {
                                        return false;
                                    }
                                    double maxDelayNanos =
                                            mQueueDelayLimit.maxDelayNanos(
                                                    w.classIndex(), mean, now);
                                    return now - w.arrivedNanos() > maxDelayNanos;
                                })
                        .size();
        for (int i = 0; i < overdue; i++) {
            shedOne(now);
        }
    }

    private void enforceQueueLength(long now) {
        double mean = meanServiceNanos(now);
        while (mQueue.size() > 0) {
            TrackedRequest candidate = shedCandidate(now);
            if (waitsForSlot(candidate)) {
                return;
            }
            int maxLength =
                    mQueueDelayLimit.maxLength(
                            candidate.classIndex(), startIntervalNanos(now), mean, now);
            if (mQueue.size() <= maxLength) {
                return;
            }
            drop(candidate, shedReason(candidate, now), now);
        }
    }

    private void shedOne(long now) {
        TrackedRequest candidate = shedCandidate(now);
        if (candidate != null && !waitsForSlot(candidate)) {
            drop(candidate, shedReason(candidate, now), now);
        }
    }

    /**
     * Reports whether a request is kept until its deadline. Calls of running requests are, because
     * the work of those requests would be lost, but not at a server with a rate limit: other
     * servers may have room.
     */
    private boolean waitsForSlot(TrackedRequest w) {
        return w.work().inProgress() && !mStartRate.isSet();
    }

    private TrackedRequest shedCandidate(long now) {
        return mQueue.shedCandidate(this::fraction, now);
    }

    private double fraction(PartnerState p, int classIndex) {
        WorkClass c = WorkClass.values()[classIndex];
        return mFractions.all().getOrDefault(new PartnerClass(p.name(), c), 1.0);
    }

    private RefusalReason shedReason(TrackedRequest w, long now) {
        if (mStartRate.isSet()) {
            return RefusalReason.SERVER_LIMIT;
        }
        double slotsInUse = w.partner().usage(w.classIndex()).average(now);
        boolean alone = mPartners.all().size() < 2;
        return !alone && slotsInUse >= mPartners.entitlement(w.partner(), limit())
                ? RefusalReason.SHARE_EXHAUSTED
                : RefusalReason.OVERLOADED;
    }

    private void drop(TrackedRequest w, RefusalReason reason, long now) {
        mQueue.remove(w);
        mQueued.remove(w.work());
        refuse(w, reason, now);
    }

    private void refuse(TrackedRequest w, RefusalReason reason, long now) {
        double drainTimeNanos = drainTimeNanos(now);
        double fraction = fraction(w.partner(), w.classIndex());
        Duration retryAfter = RetryAfter.estimate(drainTimeNanos, fraction, w.work().rank());
        w.work().listener().onRefused(reason, retryAfter);
    }

    private double expectedWait(TrackedRequest w, long now) {
        int limit = limit();
        double queuedAhead = mQueue.expectedAhead(w.partner(), w.classIndex());
        double ahead = queuedAhead + 1 + mRunning.size() - limit;
        double slotWaitNanos = Math.max(0, ahead) * meanServiceNanos(now) / limit;
        return Math.max(slotWaitNanos, queuedAhead * mStartRate.intervalNanos());
    }

    private boolean isLate(TrackedRequest w, double waitNanos, long now) {
        double neededNanos = mAllWork.deadlineEstimateNanos(w, now) + waitNanos;
        long remainingNanos = w.work().deadlineNanos() - now;
        return remainingNanos <= 0 || remainingNanos < neededNanos;
    }

    private double drainTimeNanos(long now) {
        return mQueue.size() * startIntervalNanos(now);
    }

    /** Returns the mean time between two starts while the server is saturated. */
    private double startIntervalNanos(long now) {
        return Math.max(meanServiceNanos(now) / limit(), mStartRate.intervalNanos());
    }

    /** Returns the mean number of slots that can be in use, given the rate limit of the server. */
    private double usableSlots(long now) {
        double meanNanos = meanServiceNanos(now);
        return mStartRate.isSet() && meanNanos > 0
                ? Math.min(limit(), meanNanos / mStartRate.intervalNanos())
                : limit();
    }

    private double meanServiceNanos(long now) {
        return mAllWork.meanServiceNanos(now);
    }

    private void endWindow(long now) {
        double seconds = (now - mWindowStart) / 1e9;
        mWindowStart = now;
        mAllWork.endWindow(seconds, now);
        mCallWork.endWindow(seconds, now);
        mLimit.endWindow(now);
        mPartners.removeIdle(now);
        double capacity =
                mOfferedCapacity.endWindow(
                        usableSlots(now), mQueueDelayLimit.targetNanos(meanServiceNanos(now)));
        mFractions =
                CapacityAllocator.compute(
                        mPartners,
                        k -> mAllWork.demand(k, now),
                        k -> mCallWork.demand(k, now),
                        limit(),
                        capacity,
                        now);
        mLoans = mLoanTracker.update(limit(), now);
    }
}
