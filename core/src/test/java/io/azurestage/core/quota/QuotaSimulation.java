package io.azurestage.core.quota;

import io.azurestage.core.partner.PartnerPolicy;
import io.azurestage.core.partner.QuotaLimit;
import io.azurestage.core.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;

/**
 * Nodes that admit the requests of one partner, in virtual time. Arrivals come in clumps at the
 * nodes that have clients of the partner; messages take a few milliseconds.
 */
final class QuotaSimulation {
    static final QuotaBounds BOUNDS = new QuotaBounds(Duration.ofSeconds(5), 0.1, 20);
    static final String PARTNER = "hire-house";

    private static final double STEP_SECONDS = 0.001;
    private static final int MAX_CLUMP = 3;
    private static final double MEAN_CLUMP = 2;

    /** Decides at the nodes. */
    interface Policy {
        boolean admit(int node);

        /** Whether clients send requests to a node. */
        default boolean isUp(int node) {
            return true;
        }

        default void step() {}

        default long messages() {
            return 0;
        }
    }

    /**
     * Result of a run.
     *
     * @param worstExcess admitted requests beyond the bound in the worst window, negative if kept
     * @param withinLimit arrivals that one token bucket for all nodes would admit
     */
    record Result(double worstExcess, long withinLimit, long admitted, long messages) {
        double refusedFraction() {
            return Math.max(0, 1 - admitted / (double) withinLimit);
        }
    }

    final ManualTimeSource mTime = new ManualTimeSource();
    final SplittableRandom mRandom;
    final int mNodes;
    final int mClients;
    private final Deque<Double> mWindow = new ArrayDeque<>();
    private QuotaLimit mLimit;
    private double mPreviousBound;
    private double mChangedAtSeconds;
    private double mSeconds;
    private double mWorstExcess = Double.NEGATIVE_INFINITY;
    private double mIdealLevel;
    private double mIdealUpdatedSeconds;
    private long mWithinLimit;
    private long mAdmitted;

    /**
     * Creates a simulation.
     *
     * @param nodes number of nodes
     * @param clients number of nodes that have clients of the partner
     */
    QuotaSimulation(int nodes, int clients, QuotaLimit limit, long seed) {
        mNodes = nodes;
        mClients = clients;
        mRandom = new SplittableRandom(seed);
        setLimit(limit);
    }

    QuotaLimit limit() {
        return mLimit;
    }

    /** Changes the limit; a lower one binds one window later. */
    void setLimit(QuotaLimit limit) {
        mPreviousBound = mLimit == null ? 0 : bound(mLimit);
        mChangedAtSeconds = mSeconds;
        mLimit = limit;
    }

    double seconds() {
        return mSeconds;
    }

    void resetCounts() {
        mWithinLimit = 0;
        mAdmitted = 0;
    }

    Result run(Policy policy, double seconds, DoubleUnaryOperator ratePerSecond) {
        double end = mSeconds + seconds;
        while (mSeconds < end) {
            mTime.advance(Duration.ofMillis(1));
            mSeconds += STEP_SECONDS;
            policy.step();
            double clumps = ratePerSecond.applyAsDouble(mSeconds) * STEP_SECONDS / MEAN_CLUMP;
            while (mRandom.nextDouble() < clumps) {
                int node = mRandom.nextInt(mClients);
                if (policy.isUp(node)) {
                    arrive(policy, node);
                }
                clumps -= 1;
            }
        }
        return new Result(mWorstExcess, mWithinLimit, mAdmitted, policy.messages());
    }

    private void arrive(Policy policy, int node) {
        int requests = 1 + mRandom.nextInt(MAX_CLUMP);
        for (int i = 0; i < requests; i++) {
            countIdeal();
            if (policy.admit(node)) {
                mAdmitted++;
                mWindow.addLast(mSeconds);
                checkWindow();
            }
        }
    }

    private void countIdeal() {
        double refill = mLimit.ratePerSecond() * (mSeconds - mIdealUpdatedSeconds);
        mIdealUpdatedSeconds = mSeconds;
        mIdealLevel = Math.min(mLimit.burst(), mIdealLevel + refill);
        if (mIdealLevel >= 1) {
            mIdealLevel -= 1;
            mWithinLimit++;
        }
    }

    private static double bound(QuotaLimit limit) {
        double ofBucket = limit.ratePerSecond() * BOUNDS.window().toSeconds() + limit.burst();
        return ofBucket + BOUNDS.tolerance(limit);
    }

    private void checkWindow() {
        double window = BOUNDS.window().toSeconds();
        while (mWindow.peekFirst() <= mSeconds - window) {
            mWindow.removeFirst();
        }
        boolean settled = mSeconds - mChangedAtSeconds >= 2 * window;
        double allowed = settled ? bound(mLimit) : Math.max(mPreviousBound, bound(mLimit));
        mWorstExcess = Math.max(mWorstExcess, mWindow.size() - allowed);
    }

    /** Admits a fixed part of the limit at each node. */
    static final class FixedPart implements Policy {
        private final QuotaSimulation mSimulation;
        private final double[] mTokens;
        private final double[] mUpdated;

        FixedPart(QuotaSimulation s) {
            mSimulation = s;
            mTokens = new double[s.mNodes];
            mUpdated = new double[s.mNodes];
        }

        @Override
        public boolean admit(int node) {
            QuotaLimit limit = mSimulation.limit();
            double rate = limit.ratePerSecond() / mSimulation.mNodes;
            double burst = Math.max(1, limit.burst() / mSimulation.mNodes);
            double elapsed = mSimulation.seconds() - mUpdated[node];
            mUpdated[node] = mSimulation.seconds();
            mTokens[node] = Math.min(burst, mTokens[node] + rate * elapsed);
            if (mTokens[node] < 1) {
                return false;
            }
            mTokens[node] -= 1;
            return true;
        }
    }

    /** Nodes borrow requests in batches from one token bucket; each batch is a round trip. */
    static final class BatchLending implements Policy {
        private static final double ROUND_TRIP_SECONDS = 0.004;
        private static final double POLL_SECONDS = 0.1;
        private static final double BATCH_SECONDS = 1;

        private final QuotaSimulation mSimulation;
        private final double[] mCredit;
        private final double[] mNextRequest;
        private final double[] mRate;
        private final double[] mLastArrival;
        private double mLevel;
        private double mUpdated;
        private long mMessages;

        BatchLending(QuotaSimulation s) {
            mSimulation = s;
            mCredit = new double[s.mNodes];
            mNextRequest = new double[s.mNodes];
            mRate = new double[s.mNodes];
            mLastArrival = new double[s.mNodes];
            mLevel = s.limit().burst() + 0.6 * BOUNDS.tolerance(s.limit());
        }

        @Override
        public boolean admit(int node) {
            double now = mSimulation.seconds();
            double gap = Math.max(STEP_SECONDS, now - mLastArrival[node]);
            mLastArrival[node] = now;
            mRate[node] += (1 - Math.exp(-gap / 1)) * (1 / gap - mRate[node]);
            if (mCredit[node] < 1 && now >= mNextRequest[node]) {
                borrow(node, now);
            }
            if (mCredit[node] < 1) {
                return false;
            }
            mCredit[node] -= 1;
            return true;
        }

        private void borrow(int node, double now) {
            QuotaLimit limit = mSimulation.limit();
            double capacity = limit.burst() + 0.6 * BOUNDS.tolerance(limit);
            mLevel = Math.min(capacity, mLevel + limit.ratePerSecond() * (now - mUpdated));
            mUpdated = now;
            double wanted = Math.max(2, mRate[node] * BATCH_SECONDS);
            double lent = Math.min(wanted, Math.max(0, Math.floor(mLevel / 2)));
            mLevel -= lent;
            mCredit[node] += lent;
            mMessages += 2;
            mNextRequest[node] = now + (lent > 0 ? ROUND_TRIP_SECONDS : POLL_SECONDS);
        }

        @Override
        public long messages() {
            return mMessages;
        }
    }

    /** Nodes report to the owner of the partner, which grants them credit and a rate. */
    static final class ReportsAndGrants implements Policy {
        private record Message(double atSeconds, Runnable delivery) {}

        private final QuotaSimulation mSimulation;
        private final QuotaMeter[] mMeters;
        private final QuotaLedger[] mLedgers;
        private final PriorityQueue<Message> mMessages =
                new PriorityQueue<>(Comparator.comparingDouble(Message::atSeconds));
        private final Set<Integer> mDown = new HashSet<>();
        private final Set<Integer> mCut = new HashSet<>();
        private long mEpochs = 1;
        private long mSent;

        ReportsAndGrants(QuotaSimulation s) {
            mSimulation = s;
            mMeters = new QuotaMeter[s.mNodes];
            mLedgers = new QuotaLedger[s.mNodes];
            for (int i = 0; i < s.mNodes; i++) {
                start(i);
            }
        }

        /** Starts a node's process, or starts it again without its state. */
        void start(int node) {
            mDown.remove(node);
            mMeters[node] = new QuotaMeter(mSimulation.mTime, BOUNDS, ++mEpochs * 1_000);
            mLedgers[node] = new QuotaLedger(mSimulation.mTime, BOUNDS);
            updateOwners();
            configure(node);
        }

        void stop(int node) {
            mDown.add(node);
        }

        /** Updates the nodes' view of which nodes are alive. */
        void updateOwners() {
            List<String> alive = new ArrayList<>();
            for (int i = 0; i < mMeters.length; i++) {
                if (!mDown.contains(i)) {
                    alive.add(Integer.toString(i));
                }
            }
            QuotaOwners owners = new QuotaOwners(alive);
            for (QuotaMeter m : mMeters) {
                if (m != null) {
                    m.setOwners(owners);
                }
            }
        }

        void cut(int node, boolean cut) {
            if (cut) {
                mCut.add(node);
            } else {
                mCut.remove(node);
            }
        }

        int owner() {
            List<String> alive = new ArrayList<>();
            for (int i = 0; i < mMeters.length; i++) {
                if (!mDown.contains(i)) {
                    alive.add(Integer.toString(i));
                }
            }
            return Integer.parseInt(new QuotaOwners(alive).ownerOf(PARTNER).orElseThrow());
        }

        void configureAll() {
            for (int i = 0; i < mMeters.length; i++) {
                configure(i);
            }
        }

        private void configure(int node) {
            List<PartnerPolicy> partners =
                    List.of(
                            new PartnerPolicy(
                                    PARTNER,
                                    Set.of(),
                                    OptionalInt.empty(),
                                    Optional.of(mSimulation.limit())));
            mMeters[node].configure(partners);
            mLedgers[node].configure(partners);
        }

        @Override
        public boolean isUp(int node) {
            return !mDown.contains(node);
        }

        @Override
        public boolean admit(int node) {
            boolean admitted = mMeters[node].admit(PARTNER);
            if (mMeters[node].isReportDue(PARTNER)) {
                send(node);
            }
            return admitted;
        }

        @Override
        public void step() {
            while (!mMessages.isEmpty() && mMessages.peek().atSeconds() <= mSimulation.seconds()) {
                mMessages.poll().delivery().run();
            }
            if (Math.round(mSimulation.seconds() * 1_000) % 100 == 0) {
                for (int i = 0; i < mMeters.length; i++) {
                    if (!mDown.contains(i)) {
                        send(i);
                    }
                }
            }
        }

        private void send(int from) {
            Map<String, List<QuotaReport>> all = new TreeMap<>(mMeters[from].collectReports());
            all.forEach(
                    (owner, reports) -> {
                        int to = Integer.parseInt(owner);
                        QuotaMeter sender = mMeters[from];
                        deliver(from, to, () -> answer(from, to, sender, reports));
                    });
        }

        private void answer(int from, int to, QuotaMeter sender, List<QuotaReport> reports) {
            for (QuotaReport r : reports) {
                mLedgers[to]
                        .onReport(Integer.toString(from), r)
                        .ifPresent(g -> deliver(to, from, () -> sender.onGrant(g)));
            }
        }

        private void deliver(int from, int to, Runnable delivery) {
            mSent++;
            boolean lost =
                    mDown.contains(from)
                            || mDown.contains(to)
                            || from != to && (mCut.contains(from) || mCut.contains(to));
            if (!lost) {
                double delay = from == to ? 0 : 0.001 + 0.003 * mSimulation.mRandom.nextDouble();
                mMessages.add(new Message(mSimulation.seconds() + delay, delivery));
            }
        }

        @Override
        public long messages() {
            return mSent;
        }
    }
}
