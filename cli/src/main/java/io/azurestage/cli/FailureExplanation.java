package io.azurestage.cli;

import io.azurestage.core.event.EventType;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/** Says in one sentence why a request was not served, from the line that ended it. */
final class FailureExplanation {

    /** Part of a reason, and the sentence for it; {server}, {load} and so on name fields. */
    private record Row(Pattern reason, String sentence) {}

    private static final List<Row> ROWS =
            List.of(
                    row(
                            "overload-below",
                            "a service of its chain admits only {fraction} of this class at"
                                    + " present, so it was refused at its entry and not run; it"
                                    + " was told to come back after {retryAfterMillis} ms"),
                    row(
                            "deadline-exceeded",
                            "too much work waited for backend server {server} (load {load}) to"
                                    + " answer before the deadline, so it was not run there"),
                    row(
                            "overloaded",
                            "the queue of backend server {server} was full (load {load}), so it"
                                    + " was not run there"),
                    row(
                            "share-exhausted",
                            "its partner had used its share of backend server {server}, so it was"
                                    + " not run there"),
                    row(
                            "server-leaving",
                            "the backend server was about to leave and took no new work"),
                    row("node-stopping", "the node beside the backend server was stopping"),
                    row(
                            "no-server-of-this-service",
                            "the node that it was sent to had no backend server of this service"),
                    row("no-server", "no node with a backend server of the service was known"),
                    row(
                            "no answer in",
                            "backend server {server} had it all the time and did not answer; it"
                                    + " may have run"),
                    row(
                            "no connection|not sent|refused the connection",
                            "backend server {server} could not be reached, so it was not run"),
                    row(
                            "refused it|refused by the server",
                            "backend server {server} answered that it had not run it"),
                    row("no signature", "backend server {server} sent an answer without signature"),
                    row(
                            "connection|link",
                            "a connection was lost after it was sent; it may have run"),
                    row("timeout", "there was no answer within the timeout of its route"));

    private FailureExplanation() {}

    private static Row row(String reason, String sentence) {
        return new Row(Pattern.compile(reason), sentence);
    }

    /**
     * Finds the sentence for a line.
     *
     * @param line line that ended a request or an attempt
     * @return the sentence, empty if the reason is not known here
     */
    static Optional<String> of(LogLine line) {
        if (line.is(EventType.REQUEST_CANCELLED)) {
            return Optional.of("the caller went away before there was an answer");
        }
        if (line.field("cause").equals("server")) {
            return Optional.of(
                    "the backend server ran it and answered " + line.field("status") + " itself");
        }
        String reason =
                String.join(" ", line.field("reason"), line.field("outcome"), line.field("cause"));
        return ROWS.stream()
                .filter(r -> r.reason().matcher(reason).find())
                .findFirst()
                .map(r -> fill(r.sentence(), line));
    }

    private static String fill(String sentence, LogLine line) {
        String s = sentence;
        for (String name : List.of("fraction", "retryAfterMillis", "server", "load")) {
            String value = line.field(name);
            s = s.replace("{" + name + "}", value.isEmpty() ? "(unknown)" : value);
        }
        return s;
    }
}
