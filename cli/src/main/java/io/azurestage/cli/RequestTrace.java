package io.azurestage.cli;

import io.azurestage.core.event.EventType;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** What the logs of all nodes say about one request. Lines may be added in any order. */
final class RequestTrace {
    /** Lines of two nodes may differ by this much, as their clocks do. */
    private static final long CLOCKS_MILLIS = 50;

    /** A summary of lines that were left out is written within a second after them. */
    private static final long SUMMARY_MILLIS = 1_500;

    private final String mRequestId;
    private final List<LogLine> mLines = new ArrayList<>();
    private final Map<String, Integer> mFailedCalls = new TreeMap<>();
    private long mLeftOut;

    RequestTrace(String requestId) {
        mRequestId = requestId;
    }

    /** Takes the lines of the request itself. */
    void addRequestLine(LogLine line) {
        if (line.requestId().equals(mRequestId)) {
            mLines.add(line);
        }
    }

    /** Takes lines around the request, after all of its own were taken. */
    void addContextLine(LogLine line) {
        if (mLines.isEmpty() || line.requestId().equals(mRequestId)) {
            return;
        }
        long from = start() - CLOCKS_MILLIS;
        long to = last().millis() + CLOCKS_MILLIS;
        if (line.leftOut() > 0 && line.millis() >= from && line.millis() <= to + SUMMARY_MILLIS) {
            mLeftOut += line.leftOut();
        }
        boolean during = line.millis() >= from && line.millis() <= to;
        if (during && line.is(EventType.ATTEMPT_FAILED) && line.node().equals(serverNode())) {
            String call = line.field("operation") + " of " + line.field("service");
            String why = line.field("cause");
            mFailedCalls.merge(call + " (" + why + ")", 1, Integer::sum);
        }
    }

    /** Returns the lines in causal order: what an attempt's node wrote precedes its caller's. */
    List<LogLine> lines() {
        return mLines.stream()
                .sorted(
                        Comparator.comparingLong(LogLine::millis)
                                .thenComparing(l -> !l.fields().containsKey("tookMillis") ? 0 : 1))
                .toList();
    }

    /** Returns the line that decided how the request ended. */
    Optional<LogLine> end() {
        List<LogLine> failures = lines().stream().filter(LogLine::isFailure).toList();
        return failures.stream()
                .filter(l -> !l.is(EventType.REQUEST_REFUSED) || l.fields().containsKey("reason"))
                .reduce((a, b) -> b)
                .or(() -> failures.stream().reduce((a, b) -> b));
    }

    /** Returns the line that best names the cause: the last refusal by a server's node, if any. */
    private Optional<LogLine> deciding() {
        Optional<LogLine> end = end();
        if (end.isPresent() && end.get().field("cause").equals("server")) {
            return end;
        }
        return lines().stream()
                .filter(l -> l.is(EventType.REQUEST_REFUSED))
                .reduce((a, b) -> b)
                .or(() -> end);
    }

    /** Returns the cause in one sentence. */
    String cause() {
        if (mLines.isEmpty()) {
            return "no line names it: it was served in its first attempt, never reached a node,"
                    + " or its lines were left out";
        }
        Optional<LogLine> line = deciding();
        if (line.isEmpty()) {
            return "it was repeated and then served";
        }
        return FailureExplanation.of(line.get())
                .orElse("the reason is not known to this version: " + line.get());
    }

    /** Returns the calls that failed at the server's node meanwhile, with their number. */
    Map<String, Integer> failedCalls() {
        return Map.copyOf(mFailedCalls);
    }

    /** Returns the lines that nodes left out around the request. */
    long leftOut() {
        return mLeftOut;
    }

    /** Returns when the request came, as far as the lines tell. */
    long start() {
        return mLines.stream().mapToLong(l -> l.millis() - took(l)).min().orElse(0);
    }

    private LogLine last() {
        List<LogLine> all = lines();
        return all.get(all.size() - 1);
    }

    /** Returns the node beside the server that ran the request last, empty if none did. */
    private String serverNode() {
        String place = end().map(l -> l.field("node")).orElse("");
        int slash = place.indexOf('/');
        return slash < 0 ? "" : place.substring(0, slash);
    }

    private static long took(LogLine l) {
        String millis = l.field("tookMillis");
        return millis.isEmpty() ? 0 : Long.parseLong(millis);
    }
}
