package io.azurestage.cli;

import io.azurestage.core.event.EventType;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The log lines of one request from all nodes. All request lines must be added before the context
 * lines; within each group the order does not matter.
 */
final class RequestTrace {
    /** Allowance for clock differences between nodes. */
    private static final long CLOCK_SKEW_MILLIS = 50;

    /** A node logs the count of left-out lines within a second after them. */
    private static final long SUMMARY_DELAY_MILLIS = 1_500;

    private final String mRequestId;
    private final List<LogLine> mLines = new ArrayList<>();
    private final Map<String, Integer> mFailedCalls = new TreeMap<>();
    private long mLeftOut;

    RequestTrace(String requestId) {
        mRequestId = requestId;
    }

    /** Adds a line if it belongs to the request. */
    void addRequestLine(LogLine line) {
        if (line.requestId().equals(mRequestId)) {
            mLines.add(line);
        }
    }

    /**
     * Evaluates a line of another request or of none: counts left-out lines around the time of the
     * request, and failed calls of its backend server. Has no effect before the request lines are
     * added.
     */
    void addContextLine(LogLine line) {
        if (mLines.isEmpty() || line.requestId().equals(mRequestId)) {
            return;
        }
        long from = start() - CLOCK_SKEW_MILLIS;
        long to = lastLine().millis() + CLOCK_SKEW_MILLIS;
        if (line.leftOut() > 0
                && line.millis() >= from
                && line.millis() <= to + SUMMARY_DELAY_MILLIS) {
            mLeftOut += line.leftOut();
        }
        boolean isDuringRequest = line.millis() >= from && line.millis() <= to;
        if (isDuringRequest
                && line.is(EventType.ATTEMPT_FAILED)
                && line.node().equals(serverNode())) {
            String call = line.field("operation") + " of " + line.field("service");
            String failureCause = line.field("cause");
            mFailedCalls.merge(call + " (" + failureCause + ")", 1, Integer::sum);
        }
    }

    /**
     * Returns the lines in causal order: by time, and within a millisecond lines with {@code
     * tookMillis} last, since a caller logs the end of an attempt after the node it called.
     */
    List<LogLine> lines() {
        return mLines.stream()
                .sorted(
                        Comparator.comparingLong(LogLine::millis)
                                .thenComparing(l -> !l.fields().containsKey("tookMillis") ? 0 : 1))
                .toList();
    }

    /**
     * Returns the last failure, preferably one that is not a refusal without a reason; empty if
     * nothing failed.
     */
    Optional<LogLine> lastFailure() {
        List<LogLine> failures = lines().stream().filter(LogLine::isFailure).toList();
        return failures.stream()
                .filter(l -> !l.is(EventType.REQUEST_REFUSED) || l.fields().containsKey("reason"))
                .reduce((a, b) -> b)
                .or(() -> failures.stream().reduce((a, b) -> b));
    }

    /**
     * Returns the line that best names the cause: the last failure if the backend server itself
     * responded with an error, else the last refusal, which the server's node logs, else the last
     * failure.
     */
    private Optional<LogLine> decidingLine() {
        Optional<LogLine> failure = lastFailure();
        if (failure.isPresent() && failure.get().field("cause").equals("server")) {
            return failure;
        }
        return lines().stream()
                .filter(l -> l.is(EventType.REQUEST_REFUSED))
                .reduce((a, b) -> b)
                .or(() -> failure);
    }

    /** Returns the cause in one sentence. */
    String cause() {
        if (mLines.isEmpty()) {
            return "no log line names it: its first attempt succeeded, it never reached a node,"
                    + " or its lines were left out";
        }
        Optional<LogLine> line = decidingLine();
        if (line.isEmpty()) {
            return "it was retried and then succeeded";
        }
        return FailureExplanation.of(line.get())
                .orElse("this version of the tool does not know the reason: " + line.get());
    }

    /** Returns how often each call from the backend server's node failed during the request. */
    Map<String, Integer> failedCalls() {
        return Map.copyOf(mFailedCalls);
    }

    /** Returns the number of log lines that nodes left out around the time of the request. */
    long leftOut() {
        return mLeftOut;
    }

    /** Returns the earliest known start of the request in Unix milliseconds, 0 without lines. */
    long start() {
        return mLines.stream().mapToLong(l -> l.millis() - durationMillis(l)).min().orElse(0);
    }

    private LogLine lastLine() {
        List<LogLine> all = lines();
        return all.get(all.size() - 1);
    }

    /** Returns the id of the backend server's node that the last failure names, or empty. */
    private String serverNode() {
        String serverPath = lastFailure().map(l -> l.field("node")).orElse("");
        int slash = serverPath.indexOf('/');
        return slash < 0 ? "" : serverPath.substring(0, slash);
    }

    private static long durationMillis(LogLine l) {
        String millis = l.field("tookMillis");
        return millis.isEmpty() ? 0 : Long.parseLong(millis);
    }
}
