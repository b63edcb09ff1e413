package io.azurestage.node;

import com.google.common.flogger.FluentLogger;
import io.azurestage.core.event.Event;
import io.azurestage.core.event.Severity;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;

/** Writes events to the log, except events of severity INFO that concern a single request. */
final class EventSink implements Consumer<Event> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int FIRST_REQUEST_EVENT = 200;
    private static final int LAST_REQUEST_EVENT = 299;

    @Override
    public void accept(Event e) {
        int number = e.type().number();
        boolean concernsRequest = number >= FIRST_REQUEST_EVENT && number <= LAST_REQUEST_EVENT;
        if (!concernsRequest) {
            LOGGER.at(level(e.type().severity())).log(
                    "E%d %s %s", number, e.type().name(), e.fields());
        } else if (e.type().severity() != Severity.INFO) {
            // Under overload many requests fail in the same way; the event log keeps each one.
            LOGGER.at(level(e.type().severity()))
                    .per(e.type())
                    .atMostEvery(1, TimeUnit.SECONDS)
                    .log("E%d %s %s %s", number, e.type().name(), e.requestId(), e.fields());
        }
    }

    private static Level level(Severity s) {
        return switch (s) {
            case INFO -> Level.INFO;
            case WARNING -> Level.WARNING;
            case ERROR -> Level.SEVERE;
        };
    }
}
