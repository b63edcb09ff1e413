package io.azurestage.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import java.util.function.ToDoubleBiFunction;

/** All waiting work: strict class order, partner fairness inside each class. */
final class WorkQueue {
    private final ClassQueue[] mClasses = new ClassQueue[PartnerState.CLASSES];
    private int mSize;

    WorkQueue(QueueOrder order) {
        for (int c = 0; c < mClasses.length; c++) {
            mClasses[c] = new ClassQueue(c, order);
        }
    }

    void add(Waiting w) {
        mClasses[w.classIndex()].add(w);
        mSize++;
    }

    boolean remove(Waiting w) {
        boolean removed = mClasses[w.classIndex()].remove(w);
        if (removed) {
            mSize--;
        }
        return removed;
    }

    int size() {
        return mSize;
    }

    /** Returns how much work of this class and the more important ones waits. */
    int sizeUpTo(int classIndex) {
        int sum = 0;
        for (int c = 0; c <= classIndex; c++) {
            sum += mClasses[c].size();
        }
        return sum;
    }

    /** Returns how much waiting work is likely to be served before a new request. */
    double ahead(PartnerState p, int classIndex) {
        ClassQueue own = mClasses[classIndex];
        int queued = own.size(p);
        int others = own.shares() - (queued == 0 ? 0 : p.share());
        double fair = queued * (others + p.share()) / (double) p.share();
        return sizeUpTo(classIndex - 1) + Math.min(own.size(), fair);
    }

    /**
     * Returns the work that is served next.
     *
     * @return null if nothing waits or if work of the most important waiting class may not start.
     *     Less important work never overtakes it, because more important work would then be shed
     *     while less important work is served.
     */
    Waiting next(BiPredicate<PartnerState, Integer> mayStart, long nowNanos) {
        for (int c = 0; c < mClasses.length; c++) {
            if (mClasses[c].size() > 0) {
                int classIndex = c;
                return mClasses[c].next(p -> mayStart.test(p, classIndex), nowNanos);
            }
        }
        return null;
    }

    /** Returns the work that is shed first, null if nothing waits. */
    Waiting leastEntitled(ToDoubleBiFunction<PartnerState, Integer> fraction, long nowNanos) {
        for (int c = mClasses.length - 1; c >= 0; c--) {
            if (mClasses[c].size() > 0) {
                int classIndex = c;
                return mClasses[c].leastEntitled(
                        p -> fraction.applyAsDouble(p, classIndex), nowNanos);
            }
        }
        return null;
    }

    List<Waiting> select(Predicate<Waiting> condition) {
        List<Waiting> selected = new ArrayList<>();
        for (ClassQueue q : mClasses) {
            q.forEach(
                    w -> {
                        if (condition.test(w)) {
                            selected.add(w);
                        }
                    });
        }
        return selected;
    }
}
