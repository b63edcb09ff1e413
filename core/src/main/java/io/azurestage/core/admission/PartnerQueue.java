package io.azurestage.core.admission;

import java.util.TreeSet;
import java.util.function.Consumer;

/** Waiting work of one partner in one class. */
final class PartnerQueue {
    private final TreeSet<Waiting> mByRank = new TreeSet<>(QueueOrder.RANK.comparator());
    private final TreeSet<Waiting> mByTurn;

    PartnerQueue(QueueOrder order) {
        mByTurn = order == QueueOrder.RANK ? mByRank : new TreeSet<>(order.comparator());
    }

    void add(Waiting w) {
        mByRank.add(w);
        mByTurn.add(w);
    }

    boolean remove(Waiting w) {
        boolean removed = mByRank.remove(w);
        mByTurn.remove(w);
        return removed;
    }

    Waiting next() {
        return mByTurn.first();
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
