package io.azurestage.core.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/** Queued work of one class, scheduled fairly across its partners. */
final class ClassQueue {
    private final int mClassIndex;
    private final QueueOrder mOrder;
    private final Map<PartnerState, PartnerQueue> mQueues = new HashMap<>();
    private int mSize;

    ClassQueue(int classIndex, QueueOrder order) {
        mClassIndex = classIndex;
        mOrder = order;
    }

    void add(TrackedRequest w) {
        mQueues.computeIfAbsent(w.partner(), p -> new PartnerQueue(mOrder)).add(w);
        mSize++;
    }

    boolean remove(TrackedRequest w) {
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

    /** Returns the sum of the shares of the partners with queued work. */
    int shares() {
        return mQueues.keySet().stream().mapToInt(PartnerState::share).sum();
    }

    /** Returns the work to start next, null if none of the partners may start work. */
    TrackedRequest next(Predicate<PartnerState> mayStart, long nowNanos) {
        PartnerState nextPartner = null;
        double lowestUsage = 0;
        for (PartnerState p : mQueues.keySet()) {
            double relativeUsage = p.usage(mClassIndex).fairnessUsage(nowNanos) / p.share();
            boolean precedes =
                    nextPartner == null || compare(relativeUsage, p, lowestUsage, nextPartner) < 0;
            if (precedes && mayStart.test(p)) {
                nextPartner = p;
                lowestUsage = relativeUsage;
            }
        }
        return nextPartner == null ? null : mQueues.get(nextPartner).next();
    }

    /**
     * Returns the work to shed first. Work whose rank is not below the admitted fraction of its
     * partner and class precedes other work, then the partner furthest over its share decides, then
     * the highest rank.
     */
    TrackedRequest shedCandidate(ToDoubleFunction<PartnerState> fraction, long nowNanos) {
        TrackedRequest candidate = null;
        boolean candidateAbove = false;
        double highestUsage = 0;
        for (Map.Entry<PartnerState, PartnerQueue> e : mQueues.entrySet()) {
            PartnerState p = e.getKey();
            TrackedRequest last = e.getValue().highestRank();
            boolean above = last.work().rank() >= fraction.applyAsDouble(p);
            double usage = p.usage(mClassIndex).fairnessUsage(nowNanos) + e.getValue().size();
            double relativeUsage = usage / p.share();
            boolean shedsFirst =
                    candidate == null
                            || (above != candidateAbove
                                    ? above
                                    : compare(relativeUsage, p, highestUsage, candidate.partner())
                                            > 0);
            if (shedsFirst) {
                candidate = last;
                candidateAbove = above;
                highestUsage = relativeUsage;
            }
        }
        return candidate;
    }

    void forEach(Consumer<TrackedRequest> action) {
        mQueues.values().forEach(q -> q.forEach(action));
    }

    private static int compare(
            double relativeUsage, PartnerState p, double otherUsage, PartnerState q) {
        int byUsage = Double.compare(relativeUsage, otherUsage);
        return byUsage != 0
                ? byUsage
                : Comparator.comparingInt(PartnerState::priority)
                        .thenComparing(PartnerState::name)
                        .compare(p, q);
    }
}
