package io.azurestage.core.admission;

import java.util.Comparator;

/** Order in which the waiting work of one partner and class is served. */
enum QueueOrder {
    /** Lowest rank first, so that the same requests are admitted at every depth. */
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
