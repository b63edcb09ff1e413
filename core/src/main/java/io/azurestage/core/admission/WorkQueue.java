package io.azurestage.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import java.util.function.ToDoubleBiFunction;

/** All queued work, with strict priority between classes and partner fairness within a class. */
final class WorkQueue {
    private final ClassQueue[] mClasses = new ClassQueue[PartnerState.CLASSES];
    private int mSize;

    WorkQueue(QueueOrder order) {
        for (int c = 0; c < mClasses.length; c++) {
            mClasses[c] = new ClassQueue(c, order);
        }
    }

    void add(TrackedRequest w) {
        mClasses[w.classIndex()].add(w);
        mSize++;
    }

    boolean remove(TrackedRequest w) {
        boolean removed = mClasses[w.classIndex()].remove(w);
        if (removed) {
            mSize--;
        }
        return removed;
    }

    int size() {
        return mSize;
    }

    /** Returns the number of queued requests of this class and the higher ones. */
    int sizeThroughClass(int classIndex) {
        int sum = 0;
        for (int c = 0; c <= classIndex; c++) {
            sum += mClasses[c].size();
        }
        return sum;
    }

    /** Returns the number of queued requests expected to start before a new one. */
    double expectedAhead(PartnerState p, int classIndex) {
        ClassQueue own = mClasses[classIndex];
        int ownQueued = own.size(p);
        int otherShares = own.shares() - (ownQueued == 0 ? 0 : p.share());
        double fairAhead = ownQueued * (otherShares + p.share()) / (double) p.share();
        return sizeThroughClass(classIndex - 1) + Math.min(own.size(), fairAhead);
    }

    /**
     * Returns the work to start next.
     *
     * @return null if the queue is empty or if no work of the highest queued class may start. Lower
     *     classes never overtake it, because higher-class work would then be shed while lower-class
     *     work is served.
     */
    TrackedRequest next(BiPredicate<PartnerState, Integer> mayStart, long nowNanos) {
        for (int c = 0; c < mClasses.length; c++) {
            if (mClasses[c].size() > 0) {
                int classIndex = c;
                return mClasses[c].next(p -> mayStart.test(p, classIndex), nowNanos);
            }
        }
        return null;
    }

    /** Returns the work to shed first, null if the queue is empty. */
    TrackedRequest shedCandidate(
            ToDoubleBiFunction<PartnerState, Integer> fraction, long nowNanos) {
        for (int c = mClasses.length - 1; c >= 0; c--) {
            if (mClasses[c].size() > 0) {
                int classIndex = c;
                return mClasses[c].shedCandidate(
                        p -> fraction.applyAsDouble(p, classIndex), nowNanos);
            }
        }
        return null;
    }

    List<TrackedRequest> findAll(Predicate<TrackedRequest> predicate) {
        List<TrackedRequest> matching = new ArrayList<>();
        for (ClassQueue q : mClasses) {
            q.forEach(
                    w -> {
                        if (predicate.test(w)) {
                            matching.add(w);
                        }
                    });
        }
        return matching;
    }
}
