package io.azurestage.core.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/** Waiting work of one class, divided fairly over its partners. */
final class ClassQueue {
    private final int mClassIndex;
    private final QueueOrder mOrder;
    private final Map<PartnerState, PartnerQueue> mQueues = new HashMap<>();
    private int mSize;

    ClassQueue(int classIndex, QueueOrder order) {
        mClassIndex = classIndex;
        mOrder = order;
    }

    void add(Waiting w) {
        mQueues.computeIfAbsent(w.partner(), p -> new PartnerQueue(mOrder)).add(w);
        mSize++;
    }

    boolean remove(Waiting w) {
        PartnerQueue queue = mQueues.get(w.partner());
        if (queue == null || !queue.remove(w)) {
            return false;
        }
        mSize--;
        if (queue.size() == 0) {
            mQueues.remove(w.partner());
        }
        return true;
    }

    int size() {
        return mSize;
    }

    int size(PartnerState p) {
        PartnerQueue queue = mQueues.get(p);
        return queue == null ? 0 : queue.size();
    }

    /** Returns the sum of the shares of the partners that wait here. */
    int shares() {
        return mQueues.keySet().stream().mapToInt(PartnerState::share).sum();
    }

    /** Returns the work that is served next, null if none of these partners may start. */
    Waiting next(Predicate<PartnerState> mayStart, long nowNanos) {
        PartnerState best = null;
        double lowest = 0;
        for (PartnerState p : mQueues.keySet()) {
            double claim = p.usage(mClassIndex).claim(nowNanos) / p.share();
            boolean better = best == null || compare(claim, p, lowest, best) < 0;
            if (better && mayStart.test(p)) {
                best = p;
                lowest = claim;
            }
        }
        return best == null ? null : mQueues.get(best).next();
    }

    /**
     * Returns the work that is shed first: above the fraction of its own partner and class, then of
     * the partner furthest over its share, then of the highest rank.
     */
    Waiting leastEntitled(ToDoubleFunction<PartnerState> fraction, long nowNanos) {
        Waiting worst = null;
        boolean worstAbove = false;
        double highest = 0;
        for (Map.Entry<PartnerState, PartnerQueue> e : mQueues.entrySet()) {
            PartnerState p = e.getKey();
            Waiting candidate = e.getValue().highestRank();
            boolean above = candidate.work().rank() >= fraction.applyAsDouble(p);
            double use = p.usage(mClassIndex).claim(nowNanos) + e.getValue().size();
            double claim = use / p.share();
            boolean worse =
                    worst == null
                            || (above != worstAbove
                                    ? above
                                    : compare(claim, p, highest, worst.partner()) > 0);
            if (worse) {
                worst = candidate;
                worstAbove = above;
                highest = claim;
            }
        }
        return worst;
    }

    void forEach(Consumer<Waiting> action) {
        mQueues.values().forEach(q -> q.forEach(action));
    }

    private static int compare(double claim, PartnerState p, double otherClaim, PartnerState q) {
        int byClaim = Double.compare(claim, otherClaim);
        return byClaim != 0
                ? byClaim
                : Comparator.comparingInt(PartnerState::priority)
                        .thenComparing(PartnerState::name)
                        .compare(p, q);
    }
}
