package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;
import io.azurestage.core.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Simulates, in virtual time, requests that make several sequential calls to one server and fail if
 * a call is refused. Entry nodes admit them by the fractions that responses carry.
 */
final class ChainSimulation {
    private static final String SERVICE = "stable";
    private static final String PARTNER = "p";
    private static final int ENTRY_NODES = 14;
    private static final Duration TICK = Duration.ofMillis(10);

    /** One-way network delay between two services. */
    private static final Duration NETWORK_DELAY = Duration.ofMillis(2);

    /**
     * A type of request.
     *
     * @param workClass class of work
     * @param perSecond offered requests per second
     * @param calls number of sequential calls of a request
     * @param delay time from the arrival of a request to its first call
     * @param timeout time after which a request fails
     */
    record RequestType(
            WorkClass workClass, double perSecond, int calls, Duration delay, Duration timeout) {}

    /** A request that was admitted at its entry. */
    final class ChainRequest implements AdmissionListener {
        final RequestType mType;
        final long mArrivedNanos;
        private final ChainLevels mEntry;
        private final double mFraction;
        private final double mRank;
        private int mRemainingCalls;
        private AdmissionRequest mWork;
        private long mStartedNanos;
        boolean mServed;

        private ChainRequest(RequestType type, ChainLevels entry, double fraction, double rank) {
            mRank = rank;
            mType = type;
            mEntry = entry;
            mFraction = fraction;
            mArrivedNanos = mTime.nanos();
            mRemainingCalls = type.calls();
        }

        private void call() {
            if (mRemainingCalls-- == 0) {
                mServed = mTime.nanos() < mArrivedNanos + mType.timeout().toNanos();
                sendFeedback();
                return;
            }
            long deadline = mArrivedNanos + mType.timeout().toNanos();
            mWork =
                    new AdmissionRequest(
                            PARTNER,
                            mType.workClass(),
                            mRank,
                            deadline,
                            mFraction,
                            false,
                            "status",
                            true,
                            this);
            mController.offer(mWork);
        }

        private void sendFeedback() {
            List<ServiceLevel> levels = new ArrayList<>();
            for (WorkClass c : WorkClass.values()) {
                double f =
                        mController.callFractions().getOrDefault(new PartnerClass(PARTNER, c), 1.0);
                levels.add(new ServiceLevel(SERVICE, c, f));
            }
            after(NETWORK_DELAY, () -> mEntry.learn(key(mType), levels));
        }

        @Override
        public void onAdmitted() {
            mStartedNanos = mTime.nanos();
            after(mServiceTime, this::completeCall);
        }

        private void completeCall() {
            long heldNanos = mTime.nanos() - mStartedNanos;
            AdmissionRequest completed = mWork;
            after(NETWORK_DELAY, this::call);
            mController.complete(
                    completed, new Completion(heldNanos, heldNanos, Completion.Outcome.ANSWERED));
        }

        @Override
        public void onRefused(RefusalReason reason, Duration retryAfter) {
            sendFeedback();
        }
    }

    private record Event(long atNanos, long sequence, Runnable action) {}

    final List<ChainRequest> mAdmitted = new ArrayList<>();
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final AdmissionController mController;
    private final List<ChainLevels> mEntries = new ArrayList<>();
    private final Random mRandom;
    private final Duration mServiceTime;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long mSequence;

    ChainSimulation(int slots, Duration serviceTime, long seed) {
        mController = AdmissionController.withFixedLimit(slots, mTime);
        mServiceTime = serviceTime;
        mRandom = new Random(seed);
        for (int i = 0; i < ENTRY_NODES; i++) {
            mEntries.add(new ChainLevels(mTime));
        }
    }

    void add(RequestType type) {
        double seconds = -Math.log(1 - mRandom.nextDouble()) / type.perSecond();
        after(
                Duration.ofNanos((long) (seconds * 1e9)),
                () -> {
                    arrive(type);
                    add(type);
                });
    }

    private void arrive(RequestType type) {
        ChainLevels entry = mEntries.get(mRandom.nextInt(ENTRY_NODES));
        double rank = mRandom.nextDouble();
        OptionalDouble fraction = entry.admit(key(type), rank);
        if (fraction.isPresent()) {
            ChainRequest c = new ChainRequest(type, entry, fraction.getAsDouble(), rank);
            mAdmitted.add(c);
            after(type.delay(), c::call);
        }
    }

    void run(Duration length) {
        tick();
        long end = mTime.nanos() + length.toNanos();
        while (mEvents.peek().atNanos() <= end) {
            Event e = mEvents.poll();
            mTime.advance(Duration.ofNanos(Math.max(0, e.atNanos() - mTime.nanos())));
            e.action().run();
        }
    }

    private void tick() {
        mController.tick();
        after(TICK, this::tick);
    }

    private void after(Duration d, Runnable action) {
        mEvents.add(new Event(mTime.nanos() + d.toNanos(), mSequence++, action));
    }

    /** Returns the admitted requests of a class that arrived in a time span in seconds. */
    List<ChainRequest> admitted(WorkClass c, double from, double to) {
        return mAdmitted.stream()
                .filter(a -> a.mType.workClass() == c)
                .filter(a -> a.mArrivedNanos >= seconds(from) && a.mArrivedNanos < seconds(to))
                .toList();
    }

    private static long seconds(double s) {
        return (long) (s * TimeUnit.SECONDS.toNanos(1));
    }

    private static ChainKey key(RequestType type) {
        return new ChainKey("front", "check", PARTNER, type.workClass());
    }
}
