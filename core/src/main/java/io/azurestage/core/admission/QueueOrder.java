package io.azurestage.core.admission;

import java.util.Comparator;

/** Order in which the queued work of one partner and class is started. */
enum QueueOrder {
    /** Lowest rank first, so that every service along a chain admits the same requests. */
    RANK(Comparator.comparingDouble((TrackedRequest w) -> w.work().rank())),
    /** Oldest first. */
    FIFO(Comparator.comparingLong(TrackedRequest::sequence));

    private final Comparator<TrackedRequest> mComparator;

    QueueOrder(Comparator<TrackedRequest> comparator) {
        mComparator =
                Comparator.comparing((TrackedRequest w) -> !w.work().inProgress())
                        .thenComparing(comparator)
                        .thenComparingLong(TrackedRequest::sequence);
    }

    Comparator<TrackedRequest> comparator() {
        return mComparator;
    }
}
