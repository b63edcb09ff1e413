package io.azurestage.core.admission;

import java.util.Comparator;

/** Order in which the queued work of one partner and class is started. */
enum QueueOrder {
    /** Lowest rank first, so that every service along a chain admits the same requests. */
    RANK(Comparator.comparingDouble((Waiting w) -> w.work().rank())),
    /** Oldest first. */
    FIFO(Comparator.comparingLong(Waiting::sequence));

    private final Comparator<Waiting> mComparator;

    QueueOrder(Comparator<Waiting> comparator) {
        mComparator =
                Comparator.comparing((Waiting w) -> !w.work().inProgress())
                        .thenComparing(comparator)
                        .thenComparingLong(Waiting::sequence);
    }

    Comparator<Waiting> comparator() {
        return mComparator;
    }
}
