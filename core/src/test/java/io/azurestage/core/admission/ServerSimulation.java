package io.azurestage.core.admission;

import io.azurestage.config.MeshConfig;
import io.azurestage.config.WorkClass;
import io.azurestage.core.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.DoubleUnaryOperator;
import java.util.function.ToDoubleBiFunction;

/**
 * Simulates, in virtual time, a server behind a controller with Poisson arrivals at entry nodes.
 */
final class ServerSimulation {
    static final double NANOS_PER_MILLI = 1e6;

    /** An offered request and its outcome; times are in nanoseconds, 0 if not reached. */
    static final class Request implements AdmissionListener {
        final ServerSimulation mSim;
        final Stream mStream;
        final AdmissionRequest mWork;
        final long mArrivedNanos;
        long mStartedNanos;
        long mEndedNanos;
        ChainLevels mEntryNode;

        Request(ServerSimulation sim, Stream stream, double rank, double entryFraction) {
            mSim = sim;
            mStream = stream;
            mArrivedNanos = sim.now();
            long deadline = mArrivedNanos + sim.mDeadlineNanos;
            String partner = stream.partner();
            WorkClass c = stream.workClass();
            mWork = new AdmissionRequest(partner, c, rank, deadline, entryFraction, false, this);
        }

        boolean isInTime() {
            return mEndedNanos > 0 && mEndedNanos <= mWork.deadlineNanos();
        }

        @Override
        public void onAdmitted() {
            mStartedNanos = mSim.now();
            mSim.serve(this);
        }

        @Override
        public void onRefused(RefusalReason reason, Duration retryAfter) {
            mSim.sendFeedback(this);
        }
    }

    /** Poisson arrivals with a rate per second as a function of the time in seconds. */
    record Stream(String partner, WorkClass workClass, DoubleUnaryOperator rate) {}

    private record Event(long atNanos, long sequence, Runnable action) {}

    final ManualTimeSource mTime = new ManualTimeSource();
    final AdmissionController mController;
    final List<Request> mRequests = new ArrayList<>();
    final List<String> mLoanChanges = new ArrayList<>();
    final List<ChainLevels> mEntryNodes = new ArrayList<>(List.of(new ChainLevels(mTime)));
    final Random mRandom;
    long mDeadlineNanos = (long) (1000 * NANOS_PER_MILLI);

    /** Actual number of slots of the server, above which it refuses requests. */
    int mServerSlots = Integer.MAX_VALUE;

    /** Service time in nanoseconds, from the time in seconds and the number of running requests. */
    ToDoubleBiFunction<Double, Integer> mServiceNanos;

    Runnable mOnTick = () -> {};

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long mSequence;

    ServerSimulation(int slots, MeshConfig config, AdmissionParameters tuning, long seed) {
        mRandom = new Random(seed);
        LoanListener loans = (l, b, c, n) -> mLoanChanges.add(l + ">" + b + " " + c + " " + n);
        mController = new AdmissionController(slots, mTime, loans, tuning);
        mController.configure(config);
    }

    long now() {
        return mTime.nanos();
    }

    double exponential(double mean) {
        return -mean * Math.log(1 - mRandom.nextDouble());
    }

    void schedule(double nanos, Runnable action) {
        mEvents.add(new Event((long) nanos, mSequence++, action));
    }

    void add(String partner, WorkClass workClass, DoubleUnaryOperator rate) {
        scheduleArrival(new Stream(partner, workClass, rate));
    }

    void run(double seconds) {
        schedule(now() + 10 * NANOS_PER_MILLI, this::tick);
        long end = now() + (long) (seconds * 1e9);
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= end) {
            Event e = mEvents.poll();
            mTime.advance(Duration.ofNanos(Math.max(0, e.atNanos() - now())));
            e.action().run();
        }
    }

    /** Returns the requests of a class, or of all for null, that arrived in a span in seconds. */
    List<Request> arrived(WorkClass c, double from, double to) {
        return mRequests.stream()
                .filter(r -> c == null || r.mStream.workClass() == c)
                .filter(r -> r.mArrivedNanos >= from * 1e9 && r.mArrivedNanos < to * 1e9)
                .toList();
    }

    private void tick() {
        mController.tick();
        mOnTick.run();
        schedule(now() + 10 * NANOS_PER_MILLI, this::tick);
    }

    private void scheduleArrival(Stream s) {
        double rate = s.rate().applyAsDouble(now() / 1e9);
        if (rate <= 0) {
            schedule(now() + 10 * NANOS_PER_MILLI, () -> scheduleArrival(s));
            return;
        }
        schedule(
                now() + exponential(1e9 / rate),
                () -> {
                    arrive(s);
                    scheduleArrival(s);
                });
    }

    private void arrive(Stream s) {
        double rank = mRandom.nextDouble();
        ChainLevels levels =
                mEntryNodes.isEmpty() ? null : mEntryNodes.get(mRandom.nextInt(mEntryNodes.size()));
        OptionalDouble entry = levels == null ? OptionalDouble.of(1) : levels.admit(key(s), rank);
        Request r = new Request(this, s, rank, entry.orElse(1));
        r.mEntryNode = levels;
        mRequests.add(r);
        if (entry.isEmpty()) {
            return;
        }
        mController.offer(r.mWork);
    }

    private void serve(Request r) {
        int inFlight = mController.inFlight();
        if (inFlight > mServerSlots) {
            schedule(now() + NANOS_PER_MILLI, () -> complete(r, Completion.Outcome.SERVER_REFUSED));
            return;
        }
        schedule(
                now() + mServiceNanos.applyAsDouble(now() / 1e9, inFlight),
                () -> complete(r, Completion.Outcome.ANSWERED));
    }

    private void complete(Request r, Completion.Outcome outcome) {
        long heldNanos = now() - r.mStartedNanos;
        if (outcome == Completion.Outcome.ANSWERED) {
            r.mEndedNanos = now();
        }
        sendFeedback(r);
        mController.complete(r.mWork, new Completion(heldNanos, heldNanos, outcome));
    }

    private void sendFeedback(Request r) {
        if (r.mEntryNode == null) {
            return;
        }
        List<ServiceLevel> levels = new ArrayList<>();
        for (WorkClass c : WorkClass.values()) {
            PartnerClass pc = new PartnerClass(r.mWork.partner(), c);
            double f = mController.fractions().getOrDefault(pc, 1.0);
            levels.add(new ServiceLevel("s", c, f));
        }
        schedule(now() + 2 * NANOS_PER_MILLI, () -> r.mEntryNode.learn(key(r.mStream), levels));
    }

    private static ChainKey key(Stream s) {
        return new ChainKey("s", "GET /", s.partner(), s.workClass());
    }
}
