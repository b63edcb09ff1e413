package io.azurestage.core.admission;

import java.util.TreeSet;
import java.util.function.Consumer;

/** Queued work of one partner in one class. */
final class PartnerQueue {
    private final TreeSet<TrackedRequest> mByRank = new TreeSet<>(QueueOrder.RANK.comparator());
    private final TreeSet<TrackedRequest> mByServiceOrder;

    PartnerQueue(QueueOrder order) {
        mByServiceOrder = order == QueueOrder.RANK ? mByRank : new TreeSet<>(order.comparator());
    }

    void add(TrackedRequest w) {
        mByRank.add(w);
        mByServiceOrder.add(w);
    }

    boolean remove(TrackedRequest w) {
        boolean removed = mByRank.remove(w);
        mByServiceOrder.remove(w);
        return removed;
    }

    TrackedRequest next() {
        return mByServiceOrder.first();
    }

    TrackedRequest highestRank() {
        return mByRank.last();
    }

    int size() {
        return mByRank.size();
    }

    void forEach(Consumer<TrackedRequest> action) {
        mByRank.forEach(action);
    }
}
