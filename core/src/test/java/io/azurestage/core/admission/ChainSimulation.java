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
 * Requests that call one server several times, one call after the other, and fail when one of the
 * calls is refused. Entry nodes admit them by the fractions that answers carry. Virtual time.
 */
final class ChainSimulation {
    private static final String SERVICE = "stable";
    private static final String PARTNER = "p";
    private static final int ENTRIES = 14;
    private static final Duration TICK = Duration.ofMillis(10);

    /** Time on the network between two services. */
    private static final Duration WAY = Duration.ofMillis(2);

    /**
     * Requests of one kind.
     *
     * @param workClass class
     * @param perSecond offered requests a second
     * @param calls calls of a request, one after the other
     * @param before time that a request takes before its first call
     * @param timeout time after which a request fails
     */
    record Kind(
            WorkClass workClass, double perSecond, int calls, Duration before, Duration timeout) {}

    /** A request that was admitted at its entry. */
    final class Chain implements WorkListener {
        final Kind mKind;
        final long mArrived;
        private final ChainLevels mEntry;
        private final double mFraction;
        private final double mRank;
        private int mCallsLeft;
        private Work mWork;
        private long mStarted;
        boolean mServed;

        private Chain(Kind kind, ChainLevels entry, double fraction, double rank) {
            mRank = rank;
            mKind = kind;
            mEntry = entry;
            mFraction = fraction;
            mArrived = mTime.nanos();
            mCallsLeft = kind.calls();
        }

        private void call() {
            if (mCallsLeft-- == 0) {
                mServed = mTime.nanos() < mArrived + mKind.timeout().toNanos();
                answer();
                return;
            }
            long deadline = mArrived + mKind.timeout().toNanos();
            mWork =
                    new Work(
                            PARTNER,
                            mKind.workClass(),
                            mRank,
                            deadline,
                            mFraction,
                            false,
                            "status",
                            true,
                            this);
            mController.offer(mWork);
        }

        private void answer() {
            List<ServiceLevel> levels = new ArrayList<>();
            for (WorkClass c : WorkClass.values()) {
                double f =
                        mController.callFractions().getOrDefault(new PartnerClass(PARTNER, c), 1.0);
                levels.add(new ServiceLevel(SERVICE, c, f));
            }
            after(WAY, () -> mEntry.learn(key(mKind), levels));
        }

        @Override
        public void run() {
            mStarted = mTime.nanos();
            after(mServiceTime, this::ran);
        }

        private void ran() {
            long held = mTime.nanos() - mStarted;
            Work done = mWork;
            after(WAY, this::call);
            mController.complete(done, new Completion(held, held, Completion.Outcome.ANSWERED));
        }

        @Override
        public void refuse(RefusalReason reason, Duration retryAfter) {
            answer();
        }
    }

    private record Event(long at, long sequence, Runnable action) {}

    final List<Chain> mAdmitted = new ArrayList<>();
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final AdmissionController mController;
    private final List<ChainLevels> mEntries = new ArrayList<>();
    private final Random mRandom;
    private final Duration mServiceTime;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
    private long mSequence;

    ChainSimulation(int slots, Duration serviceTime, long seed) {
        mController = AdmissionController.withFixedLimit(slots, mTime);
        mServiceTime = serviceTime;
        mRandom = new Random(seed);
        for (int i = 0; i < ENTRIES; i++) {
            mEntries.add(new ChainLevels(mTime));
        }
    }

    void add(Kind kind) {
        double seconds = -Math.log(1 - mRandom.nextDouble()) / kind.perSecond();
        after(
                Duration.ofNanos((long) (seconds * 1e9)),
                () -> {
                    arrive(kind);
                    add(kind);
                });
    }

    private void arrive(Kind kind) {
        ChainLevels entry = mEntries.get(mRandom.nextInt(ENTRIES));
        double rank = mRandom.nextDouble();
        OptionalDouble fraction = entry.admit(key(kind), rank);
        if (fraction.isPresent()) {
            Chain c = new Chain(kind, entry, fraction.getAsDouble(), rank);
            mAdmitted.add(c);
            after(kind.before(), c::call);
        }
    }

    void run(Duration length) {
        tick();
        long end = mTime.nanos() + length.toNanos();
        while (mEvents.peek().at() <= end) {
            Event e = mEvents.poll();
            mTime.advance(Duration.ofNanos(Math.max(0, e.at() - mTime.nanos())));
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

    /** Admitted requests of a class that arrived in a time span in seconds. */
    List<Chain> admitted(WorkClass c, double from, double to) {
        return mAdmitted.stream()
                .filter(a -> a.mKind.workClass() == c)
                .filter(a -> a.mArrived >= seconds(from) && a.mArrived < seconds(to))
                .toList();
    }

    private static long seconds(double s) {
        return (long) (s * TimeUnit.SECONDS.toNanos(1));
    }

    private static ChainKey key(Kind kind) {
        return new ChainKey("front", "check", PARTNER, kind.workClass());
    }
}
