package io.azurestage.cli;

import io.azurestage.core.event.EventType;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/** Explains in one sentence why a request failed, from the log line that ended it. */
final class FailureExplanation {

    /**
     * Pattern of a reason and its explanation. Placeholders such as {server} and {load} are
     * replaced with the values of the log line's fields.
     */
    private record Row(Pattern reason, String sentence) {}

    private static final List<Row> EXPLANATIONS =
            List.of(
                    row(
                            "no-key",
                            "it carried no access key and its route needs one, so its entry node"
                                    + " refused it and it was not run"),
                    row(
                            "unknown-key",
                            "no partner holds its access key in configuration version"
                                    + " {configVersion}, which its entry node used; it was not"
                                    + " run"),
                    row(
                            "over-quota",
                            "partner {partner} was over its limit of {limit} requests per second,"
                                    + " which had room for {fraction} of the requests as known"
                                    + " {grantAgeMillis} ms before; it was not run, and the caller"
                                    + " was told to retry after {retryAfterMillis} ms"),
                    row(
                            "overload-below",
                            "a service in its call chain currently admits only {fraction} of this"
                                    + " class, so its entry node refused it and it was not run; the"
                                    + " caller was told to retry after {retryAfterMillis} ms"),
                    row(
                            "deadline-exceeded",
                            "backend server {server} had too much queued work (load {load}) to"
                                    + " respond before the deadline, so it was not run there"),
                    row(
                            "overloaded",
                            "the queue of backend server {server} was full (load {load}), so it"
                                    + " was not run there"),
                    row(
                            "share-exhausted",
                            "its partner had used up its share of backend server {server}, so it"
                                    + " was not run there"),
                    row(
                            "server-limit",
                            "backend server {server} stated a rate limit that was used up, so it"
                                    + " was not run there"),
                    row(
                            "server-leaving",
                            "the backend server was about to leave and accepted no new work"),
                    row("node-stopping", "the node was shutting down and accepted no new requests"),
                    row(
                            "no-server-of-this-service",
                            "the node it was sent to has no backend server for this service"),
                    row("no-server", "no node with a backend server for the service was known"),
                    row(
                            "no answer in",
                            "backend server {server} had received it but did not respond within the"
                                    + " timeout; it may have run"),
                    row(
                            "no connection|not sent|refused the connection",
                            "backend server {server} could not be reached, so it was not run"),
                    row(
                            "refused it|refused by the server",
                            "backend server {server} responded that it had not run it"),
                    row(
                            "no signature",
                            "backend server {server} sent a response without a signature"),
                    row(
                            "not HTTP|not framed correctly",
                            "the server sent an answer that is not HTTP, which was not passed on;"
                                    + " it may have run"),
                    row(
                            "answer is larger|came before the answer|unfinished answers",
                            "the server sent an answer that is too long, which was not passed on;"
                                    + " it may have run"),
                    row(
                            "does not say to which request|answer to another request",
                            "the server sent an answer that may belong to another request, which"
                                    + " was not passed on; it may have run"),
                    row(
                            "connection|link",
                            "the connection failed after it was sent; it may have run"),
                    row("timeout", "there was no response within the timeout of its route"));

    private static final List<String> PLACEHOLDERS =
            List.of(
                    "fraction",
                    "retryAfterMillis",
                    "server",
                    "load",
                    "configVersion",
                    "partner",
                    "limit",
                    "grantAgeMillis");

    private FailureExplanation() {}

    private static Row row(String reason, String sentence) {
        return new Row(Pattern.compile(reason), sentence);
    }

    /**
     * Returns the explanation for a log line.
     *
     * @param line log line of a failed or cancelled request or attempt
     * @return one sentence, empty if the reason matches no pattern
     */
    static Optional<String> of(LogLine line) {
        if (line.is(EventType.REQUEST_CANCELLED)) {
            return Optional.of("the caller disconnected before there was a response");
        }
        if (line.field("cause").equals("server")) {
            return Optional.of(
                    "the backend server ran it and responded with status " + line.field("status"));
        }
        String reason =
                String.join(" ", line.field("reason"), line.field("outcome"), line.field("cause"));
        return EXPLANATIONS.stream()
                .filter(r -> r.reason().matcher(reason).find())
                .findFirst()
                .map(r -> fillPlaceholders(r.sentence(), line));
    }

    private static String fillPlaceholders(String sentence, LogLine line) {
        String s = sentence;
        for (String name : PLACEHOLDERS) {
            String value = line.field(name);
            s = s.replace("{" + name + "}", value.isEmpty() ? "(unknown)" : value);
        }
        return s;
    }
}
