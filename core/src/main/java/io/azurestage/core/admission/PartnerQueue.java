package io.azurestage.core.admission;

import java.util.TreeSet;
import java.util.function.Consumer;

/** Queued work of one partner in one class. */
final class PartnerQueue {
    private final TreeSet<Waiting> mByRank = new TreeSet<>(QueueOrder.RANK.comparator());
    private final TreeSet<Waiting> mByServiceOrder;

    PartnerQueue(QueueOrder order) {
        mByServiceOrder = order == QueueOrder.RANK ? mByRank : new TreeSet<>(order.comparator());
    }

    void add(Waiting w) {
        mByRank.add(w);
        mByServiceOrder.add(w);
    }

    boolean remove(Waiting w) {
        boolean removed = mByRank.remove(w);
        mByServiceOrder.remove(w);
        return removed;
    }

    Waiting next() {
        return mByServiceOrder.first();
    }

    Waiting highestRank() {
        return mByRank.last();
    }

    int size() {
        return mByRank.size();
    }

    void forEach(Consumer<Waiting> action) {
        mByRank.forEach(action);
    }
}
