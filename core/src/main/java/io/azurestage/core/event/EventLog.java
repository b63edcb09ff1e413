package io.azurestage.core.event;

import io.azurestage.core.time.HybridClock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Bounded in-memory log of a node's events. When it is full, the oldest event is dropped and
 * counted. Thread-safe.
 */
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
     * @param nodeId id of the node that records the events
     * @param clock source of the events' time
     * @param capacity maximum number of events kept, at least 1
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
     * Records an event that does not concern a request or a partner.
     *
     * @param type type of the event
     * @param fields further details
     */
    public void record(EventType type, Map<String, String> fields) {
        record(type, "", "", fields);
    }

    /**
     * Records an event.
     *
     * @param type type of the event
     * @param requestId hexadecimal request id, or empty
     * @param partner name of the partner, or empty
     * @param fields further details
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
     * Returns the kept events that match a filter, oldest first.
     *
     * @param filter condition that the events must meet
     * @return a new list
     */
    public List<Event> find(Predicate<Event> filter) {
        List<Event> all;
        synchronized (mEvents) {
            all = new ArrayList<>(mEvents);
        }
        return all.stream().filter(filter).toList();
    }

    /**
     * Returns the number of events dropped because the log was full.
     *
     * @return the number since the log was created
     */
    public long dropped() {
        synchronized (mEvents) {
            return mDropped;
        }
    }
}
