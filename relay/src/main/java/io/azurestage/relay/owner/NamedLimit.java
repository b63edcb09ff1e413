package io.azurestage.relay.owner;

import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.relay.http.Field;
import io.azurestage.relay.http.Fields;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The rate limit that a backend server states in its answers. It holds until an answer without it.
 * Not thread-safe.
 */
final class NamedLimit {
    /** Relative change that is worth a further event. */
    private static final double REPORTED_CHANGE = 0.2;

    private static final OptionalDouble NONE = OptionalDouble.empty();

    private final String mHeader;
    private final EventLog mEvents;
    private OptionalDouble mPerSecond = NONE;
    private double mReportedPerSecond;

    NamedLimit(String header, EventLog events) {
        mHeader = header;
        mEvents = events;
    }

    /** Returns the limit in requests per second, empty if the server states none. */
    OptionalDouble perSecond() {
        return mPerSecond;
    }

    /**
     * Reads the limit from an answer of the server.
     *
     * @param serverId id of the server
     * @param fields header fields of the answer
     */
    void answered(String serverId, List<Field> fields) {
        Optional<String> stated = Fields.first(fields, mHeader);
        OptionalDouble next = stated.isEmpty() ? NONE : parse(stated.get());
        double changed = Math.abs(next.orElse(0) - mReportedPerSecond);
        boolean started = next.isPresent() != mPerSecond.isPresent();
        mPerSecond = next;
        if (started || changed > REPORTED_CHANGE * mReportedPerSecond) {
            mReportedPerSecond = next.orElse(0);
            mEvents.record(
                    EventType.SERVER_LIMIT_CHANGED,
                    Map.of("server", serverId, "limit", stated.orElse("none")));
        }
    }

    /** A malformed limit is ignored, because no rate follows from it. */
    private static OptionalDouble parse(String text) {
        try {
            double perSecond = Double.parseDouble(text.trim());
            return perSecond >= 0 && Double.isFinite(perSecond)
                    ? OptionalDouble.of(perSecond)
                    : NONE;
        } catch (NumberFormatException e) {
            return NONE;
        }
    }
}
