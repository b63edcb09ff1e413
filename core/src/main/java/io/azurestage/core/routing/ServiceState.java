package io.azurestage.core.routing;

import io.azurestage.core.context.NodeIdentity;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The servers of one service. Picks read an immutable snapshot without locking; ejections and
 * updates lock only this service. Times are nanoseconds since the start of the router.
 */
final class ServiceState {
    static final Duration BASE_EJECTION_TIME = Duration.ofSeconds(1);
    static final Duration MAX_EJECTION_TIME = Duration.ofSeconds(60);

    private static final int MAX_DOUBLINGS = 6;

    /** The latency average gives each new sample a weight of 1 / 2^4. */
    private static final int LATENCY_AVERAGE_SHIFT = 4;

    /** One pick in this many ignores reported loads when it compares tiers. */
    private static final int IGNORE_LOAD_INTERVAL = 4;

    private static final int MAX_RANDOM_DRAWS = 4;

    /** Tier of the other data centres of the same region. */
    private static final int SAME_REGION_TIER = 1;

    /**
     * Servers that accept new work.
     *
     * @param tiers servers by locality: own data centre, own region, other regions
     * @param meanSlots mean number of slots per server
     */
    private record Snapshot(List<Server> available, Server[][] tiers, double meanSlots) {}

    /**
     * Which servers one pick may choose. The same draw is compared with the diversion of all
     * servers, so that looking at a server twice does not change its probability.
     *
     * @param exclude servers that the request must not be sent to
     * @param ejected whether ejected servers are included
     * @param diversionDraw a random number; a server that diverts a larger fraction is left out
     * @param now time of the pick
     */
    private record Eligibility(
            Set<NodeIdentity> exclude, boolean ejected, double diversionDraw, long now) {
        boolean includes(Server s) {
            return (ejected || !s.mEjected)
                    && diversionDraw >= s.diversion(now)
                    && (exclude.isEmpty() || !exclude.contains(s.mEndpoint.node()));
        }

        Eligibility withDiverting() {
            return new Eligibility(exclude, ejected, 1, now);
        }

        Eligibility withEjected() {
            return new Eligibility(exclude, true, 1, now);
        }
    }

    private final Tiers mTiers;
    private final EjectionListener mListener;
    private volatile Snapshot mSnapshot = new Snapshot(List.of(), new Server[0][], 1);
    private volatile long mNextRestoreAt = Long.MAX_VALUE;
    private volatile long mMeanLatency;
    private List<Server> mAll = List.of();

    ServiceState(Tiers tiers, EjectionListener listener) {
        mTiers = tiers;
        mListener = listener;
    }

    synchronized void update(List<Server> all, long now) {
        mAll = all;
        rebuildSnapshot();
        restore(now);
    }

    Optional<Server> choose(Set<NodeIdentity> exclude, SplittableRandom random, long now) {
        if (now >= mNextRestoreAt) {
            restoreLocked(now);
        }
        Snapshot snapshot = mSnapshot;
        Eligibility preferred = new Eligibility(exclude, false, random.nextDouble(), now);
        Server s = choose(snapshot, preferred, random, now);
        if (s == null) {
            s = choose(snapshot, preferred.withDiverting(), random, now);
        }
        if (s == null) {
            s = choose(snapshot, preferred.withEjected(), random, now);
        }
        return Optional.ofNullable(s);
    }

    void recordAnswer(Server s, long latencyNanos, long now) {
        s.mFailures.recordSuccess(now);
        long average = mMeanLatency;
        // A concurrent update may be lost, which the average tolerates.
        mMeanLatency =
                average == 0
                        ? latencyNanos
                        : average + (latencyNanos - average >> LATENCY_AVERAGE_SHIFT);
    }

    void recordFailure(Server s, long now) {
        Optional<String> reason = s.mFailures.recordFailure(now);
        if (reason.isPresent()) {
            eject(s, reason.get(), now);
        }
    }

    /** An incarnation never leaves the draining state, so the server stays excluded for good. */
    synchronized void recordDraining(Server s, long now) {
        s.mRefusesAsDraining = true;
        rebuildSnapshot();
        restore(now);
    }

    private Server choose(
            Snapshot snapshot, Eligibility eligibility, SplittableRandom random, long now) {
        boolean useReportedLoad = random.nextInt(IGNORE_LOAD_INTERVAL) > 0;
        Server best = null;
        double bestCostNanos = 0;
        for (int i = 0; i < snapshot.tiers.length; i++) {
            Server s = twoChoices(snapshot.tiers[i], snapshot.meanSlots, eligibility, random, now);
            if (s != null) {
                double costNanos =
                        mTiers.costNanos(i) + s.expectedWait(useReportedLoad, now) * mMeanLatency;
                // Each failed attempt is retried, possibly in another data centre.
                costNanos +=
                        s.expectedFailedAttempts(now)
                                * (mMeanLatency + mTiers.costNanos(SAME_REGION_TIER));
                if (best == null || costNanos < bestCostNanos) {
                    best = s;
                    bestCostNanos = costNanos;
                }
            }
        }
        return best;
    }

    private static Server twoChoices(
            Server[] tier,
            double meanSlots,
            Eligibility eligibility,
            SplittableRandom random,
            long now) {
        Server a = draw(tier, null, eligibility, random);
        Server b = tier.length < 2 || a == null ? null : draw(tier, a, eligibility, random);
        if (b == null) {
            return a;
        }
        double weightA = a.weight(meanSlots, now);
        double weightB = b.weight(meanSlots, now);
        return random.nextDouble() * (weightA + weightB) < weightA ? a : b;
    }

    /**
     * Draws an eligible server. Tries a few unbiased random draws, then scans from a random
     * position.
     */
    private static Server draw(
            Server[] tier, Server other, Eligibility eligibility, SplittableRandom random) {
        int n = tier.length;
        if (n == 0) {
            return null;
        }
        for (int i = 0; i < MAX_RANDOM_DRAWS; i++) {
            Server s = tier[random.nextInt(n)];
            if (s != other && eligibility.includes(s)) {
                return s;
            }
        }
        int start = random.nextInt(n);
        for (int i = 0; i < n; i++) {
            Server s = tier[(start + i) % n];
            if (s != other && eligibility.includes(s)) {
                return s;
            }
        }
        return null;
    }

    private synchronized void eject(Server s, String reason, long now) {
        Snapshot snapshot = mSnapshot;
        if (s.mEjected
                || !snapshot.available.contains(s)
                || (countEjected(snapshot) + 1) * 2 > snapshot.available.size()) {
            return;
        }
        if (now - s.mRestoredAt >= MAX_EJECTION_TIME.toNanos()) {
            s.mEjections = 0;
        }
        long length = BASE_EJECTION_TIME.toNanos() << Math.min(s.mEjections++, MAX_DOUBLINGS);
        length = Math.min(length, MAX_EJECTION_TIME.toNanos());
        s.mEjectedUntil = now + length;
        s.mEjected = true;
        mNextRestoreAt = Math.min(mNextRestoreAt, s.mEjectedUntil);
        mListener.onEjected(s.mEndpoint, Duration.ofNanos(length), reason);
    }

    private synchronized void restoreLocked(long now) {
        restore(now);
    }

    /** Restores servers whose ejection has ended, and more while over half of them are ejected. */
    private void restore(long now) {
        Snapshot snapshot = mSnapshot;
        List<Server> ejected =
                snapshot.available.stream()
                        .filter(s -> s.mEjected)
                        .sorted(Comparator.comparingLong(s -> s.mEjectedUntil))
                        .toList();
        int remaining = ejected.size();
        mNextRestoreAt = Long.MAX_VALUE;
        for (Server s : ejected) {
            if (s.mEjectedUntil > now && remaining * 2 <= snapshot.available.size()) {
                mNextRestoreAt = s.mEjectedUntil;
                return;
            }
            s.mFailures.reset();
            s.mRestoredAt = now;
            s.mEjected = false;
            remaining--;
            mListener.onRestored(s.mEndpoint);
        }
    }

    private void rebuildSnapshot() {
        List<Server> available = mAll.stream().filter(Server::acceptsNewWork).toList();
        mAll.stream().filter(s -> !s.acceptsNewWork()).forEach(s -> s.mEjected = false);
        double mean = available.stream().mapToInt(s -> s.mEndpoint.slots()).average().orElse(1);
        mSnapshot = new Snapshot(available, mTiers.group(available), mean);
    }

    private static int countEjected(Snapshot snapshot) {
        return (int) snapshot.available.stream().filter(s -> s.mEjected).count();
    }
}
