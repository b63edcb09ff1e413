package io.azurestage.core.event;

import io.azurestage.core.time.HybridClock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Bounded log of a node's events: the oldest are dropped and counted. Thread-safe. */
public final class EventLog {
    private final String mNodeId;
    private final HybridClock mClock;
    private final int mCapacity;
    private final Consumer<Event> mSink;
    private final Deque<Event> mEvents = new ArrayDeque<>();
    private long mDropped;

    /**
     * Creates a log.
     *
     * @param nodeId node that records
     * @param clock stamps the events
     * @param capacity events kept, at least 1
     * @param sink receives each event, for the structured log; must not block
     */
    public EventLog(String nodeId, HybridClock clock, int capacity, Consumer<Event> sink) {
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity must be at least 1, not " + capacity);
        }
        mNodeId = nodeId;
        mClock = clock;
        mCapacity = capacity;
        mSink = sink;
    }

    /**
     * Records an event that belongs to no request.
     *
     * @param type numbered type
     * @param fields details
     */
    public void record(EventType type, Map<String, String> fields) {
        record(type, "", "", fields);
    }

    /**
     * Records an event.
     *
     * @param type numbered type
     * @param requestId hexadecimal request id, or empty
     * @param partner partner, or empty
     * @param fields details
     */
    public void record(
            EventType type, String requestId, String partner, Map<String, String> fields) {
        Event e = new Event(mClock.tick(), mNodeId, type, requestId, partner, fields);
        synchronized (mEvents) {
            if (mEvents.size() == mCapacity) {
                mEvents.removeFirst();
                mDropped++;
            }
            mEvents.addLast(e);
        }
        mSink.accept(e);
    }

    /**
     * Returns the kept events that match, oldest first.
     *
     * @param filter which events to return
     * @return a copy
     */
    public List<Event> find(Predicate<Event> filter) {
        List<Event> all;
        synchronized (mEvents) {
            all = new ArrayList<>(mEvents);
        }
        return all.stream().filter(filter).toList();
    }

    /**
     * Returns how many events were dropped because the log was full.
     *
     * @return a count since the node started
     */
    public long dropped() {
        synchronized (mEvents) {
            return mDropped;
        }
    }
}
