package io.azurestage.core.routing;

import io.azurestage.core.context.NodeIdentity;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The servers of one service. Picks read an immutable layout without locking; ejections and updates
 * lock this service alone. Times are nanoseconds since the start of the router.
 */
final class ServiceState {
    static final Duration FIRST_EJECTION = Duration.ofSeconds(1);
    static final Duration LONGEST_EJECTION = Duration.ofSeconds(60);

    private static final int MAX_DOUBLINGS = 6;
    private static final int LATENCY_SHIFT = 4;

    /** One pick in this many ignores reported loads when it compares data centres. */
    private static final int DOUBT = 4;

    private static final int DRAWS = 4;

    /** Another data centre of the same region. */
    private static final int NEXT_TIER = 1;

    /**
     * Servers that take new work.
     *
     * @param tiers own data centre, own region, other regions
     */
    private record Layout(List<Server> open, Server[][] tiers, double meanSlots) {}

    private final Tiers mTiers;
    private final EjectionListener mListener;
    private volatile Layout mLayout = new Layout(List.of(), new Server[0][], 1);
    private volatile long mNextRestore = Long.MAX_VALUE;
    private volatile long mLatency;
    private List<Server> mAll = List.of();

    ServiceState(Tiers tiers, EjectionListener listener) {
        mTiers = tiers;
        mListener = listener;
    }

    synchronized void update(List<Server> all, long now) {
        mAll = all;
        layOut();
        restore(now);
    }

    Optional<Server> choose(Set<NodeIdentity> exclude, SplittableRandom random, long now) {
        if (now >= mNextRestore) {
            restoreLocked(now);
        }
        Layout l = mLayout;
        Server s = choose(l, exclude, false, random, now);
        return Optional.ofNullable(s != null ? s : choose(l, exclude, true, random, now));
    }

    void answered(Server s, long latencyNanos, long now) {
        s.mFailures.succeeded(now);
        long known = mLatency;
        // A racing update may be lost, which an average tolerates.
        mLatency = known == 0 ? latencyNanos : known + (latencyNanos - known >> LATENCY_SHIFT);
    }

    void failed(Server s, long now) {
        Optional<String> reason = s.mFailures.failed(now);
        if (reason.isPresent()) {
            eject(s, reason.get(), now);
        }
    }

    /** Draining is never taken back by an incarnation, so the refusal counts until it is gone. */
    synchronized void draining(Server s, long now) {
        s.mRefusesAsDraining = true;
        layOut();
        restore(now);
    }

    private Server choose(
            Layout l,
            Set<NodeIdentity> exclude,
            boolean ejectedToo,
            SplittableRandom random,
            long now) {
        boolean trustLoad = random.nextInt(DOUBT) > 0;
        Server best = null;
        double bestCost = 0;
        for (int i = 0; i < l.tiers.length; i++) {
            Server s = twoChoices(l.tiers[i], l.meanSlots, exclude, ejectedToo, random, now);
            if (s != null) {
                double cost = mTiers.cost(i) + s.wait(trustLoad, now) * mLatency;
                // Each failed attempt is made again, which may mean crossing to another one.
                cost += s.failedAttempts(now) * (mLatency + mTiers.cost(NEXT_TIER));
                if (best == null || cost < bestCost) {
                    best = s;
                    bestCost = cost;
                }
            }
        }
        return best;
    }

    private static Server twoChoices(
            Server[] tier,
            double meanSlots,
            Set<NodeIdentity> exclude,
            boolean ejectedToo,
            SplittableRandom random,
            long now) {
        Server a = draw(tier, null, exclude, ejectedToo, random);
        Server b = tier.length < 2 || a == null ? null : draw(tier, a, exclude, ejectedToo, random);
        if (b == null) {
            return a;
        }
        double wa = a.weight(meanSlots, now);
        double wb = b.weight(meanSlots, now);
        return random.nextDouble() * (wa + wb) < wa ? a : b;
    }

    /** Draws at random a few times, which has no bias, then takes the next one that will do. */
    private static Server draw(
            Server[] tier,
            Server other,
            Set<NodeIdentity> exclude,
            boolean ejectedToo,
            SplittableRandom random) {
        int n = tier.length;
        if (n == 0) {
            return null;
        }
        for (int i = 0; i < DRAWS; i++) {
            Server s = tier[random.nextInt(n)];
            if (s != other && isEligible(s, exclude, ejectedToo)) {
                return s;
            }
        }
        int at = random.nextInt(n);
        for (int i = 0; i < n; i++) {
            Server s = tier[(at + i) % n];
            if (s != other && isEligible(s, exclude, ejectedToo)) {
                return s;
            }
        }
        return null;
    }

    private static boolean isEligible(Server s, Set<NodeIdentity> exclude, boolean ejectedToo) {
        return (ejectedToo || !s.mEjected)
                && (exclude.isEmpty() || !exclude.contains(s.mEndpoint.node()));
    }

    private synchronized void eject(Server s, String reason, long now) {
        Layout l = mLayout;
        if (s.mEjected || !l.open.contains(s) || (ejected(l) + 1) * 2 > l.open.size()) {
            return;
        }
        if (now - s.mRestoredAt >= LONGEST_EJECTION.toNanos()) {
            s.mEjections = 0;
        }
        long length = FIRST_EJECTION.toNanos() << Math.min(s.mEjections++, MAX_DOUBLINGS);
        length = Math.min(length, LONGEST_EJECTION.toNanos());
        s.mEjectedUntil = now + length;
        s.mEjected = true;
        mNextRestore = Math.min(mNextRestore, s.mEjectedUntil);
        mListener.onEjected(s.mEndpoint, Duration.ofNanos(length), reason);
    }

    private synchronized void restoreLocked(long now) {
        restore(now);
    }

    /** Restores servers whose time has come, and more while over half of the servers are out. */
    private void restore(long now) {
        Layout l = mLayout;
        List<Server> out =
                l.open.stream()
                        .filter(s -> s.mEjected)
                        .sorted(Comparator.comparingLong(s -> s.mEjectedUntil))
                        .toList();
        int left = out.size();
        mNextRestore = Long.MAX_VALUE;
        for (Server s : out) {
            if (s.mEjectedUntil > now && left * 2 <= l.open.size()) {
                mNextRestore = s.mEjectedUntil;
                return;
            }
            s.mFailures.clear();
            s.mRestoredAt = now;
            s.mEjected = false;
            left--;
            mListener.onRestored(s.mEndpoint);
        }
    }

    private void layOut() {
        List<Server> open = mAll.stream().filter(Server::isOpen).toList();
        mAll.stream().filter(s -> !s.isOpen()).forEach(s -> s.mEjected = false);
        double mean = open.stream().mapToInt(s -> s.mEndpoint.slots()).average().orElse(1);
        mLayout = new Layout(open, mTiers.split(open), mean);
    }

    private static int ejected(Layout l) {
        return (int) l.open.stream().filter(s -> s.mEjected).count();
    }
}
