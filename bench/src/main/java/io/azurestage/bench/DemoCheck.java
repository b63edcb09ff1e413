package io.azurestage.bench;

import io.azurestage.bench.standin.WorkLedger;
import io.azurestage.client.CallClass;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Computes the figures of a demo run and checks its properties, at callers and at backend servers.
 */
final class DemoCheck {
    static final long MAX_SPREAD_MS = 4_000;
    static final long MAX_NEW_WORK_MS = 3_000;

    private static final long SECOND_NANOS = 1_000_000_000L;

    private final List<CallLog.Attempt> mAttempts;
    private final WorkLedger mLedger;
    private final Observations mObservations;

    /**
     * Observations other than the calls.
     *
     * @param retryAllowance maximum number of retries of one request
     * @param criticalCapacity lower bound of the slowest service's capacity, in requests per second
     * @param spreadMs time in milliseconds until the pushed version was in force on all nodes, or
     *     -1
     * @param reverts number of reports of a lower configuration number than before
     * @param outagePushHeld whether the push during the store outage failed without any effect
     * @param leaving observations at the server that was shut down
     */
    record Observations(
            int retryAllowance,
            double criticalCapacity,
            long spreadMs,
            int reverts,
            boolean outagePushHeld,
            Leaving leaving) {}

    /**
     * A server that was shut down.
     *
     * @param leftNanos start of the shutdown, a {@link System#nanoTime()} reading
     * @param endNanos time when the exit of the node was seen, a {@link System#nanoTime()} reading
     * @param exitCode exit code of the node process
     * @param lastNewWorkMs time from the start of the shutdown to the last new request, or 0
     * @param inProgress requests in progress at the backend server when the node had exited
     */
    record Leaving(
            long leftNanos, long endNanos, int exitCode, long lastNewWorkMs, int inProgress) {}

    DemoCheck(List<CallLog.Attempt> attempts, WorkLedger ledger, Observations observations) {
        mAttempts = List.copyOf(attempts);
        mLedger = ledger;
        mObservations = observations;
    }

    /** Returns the figures that the demo prints as its last line. */
    Map<String, Object> figures() {
        WorkLedger.Summary summary = summary();
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("whole", count(a -> a.is(Verdict.WHOLE)));
        figures.put("refused_not_run", count(a -> a.is(Verdict.REFUSED)));
        figures.put("unknown", count(a -> a.is(Verdict.UNKNOWN) || a.is(Verdict.ERROR)));
        figures.put("partial", count(a -> a.is(Verdict.PARTIAL)));
        figures.put("misdelivered", count(a -> a.is(Verdict.MISDELIVERED)));
        figures.put("duplicated", summary.duplicated());
        figures.put("max_retries_per_request", summary.maxRetries());
        figures.put("browsing_refused", shedCount(CallClass.BROWSING));
        figures.put("critical_refused", shedCount(CallClass.CRITICAL));
        figures.put("config_spread_ms", mObservations.spreadMs());
        return figures;
    }

    /** Returns one message for each violated property. */
    List<String> violations() {
        List<String> violations = new ArrayList<>();
        WorkLedger.Summary summary = summary();
        addIfAny(violations, "P3 partial", count(a -> a.is(Verdict.PARTIAL)), "partial responses");
        addIfAny(
                violations,
                "P3 misdelivered",
                count(a -> a.is(Verdict.MISDELIVERED)),
                "responses to another request");
        addIfAny(
                violations,
                "P5 duplicated",
                summary.duplicated(),
                "critical requests were executed twice");
        addIfAny(
                violations,
                "P4 not-run",
                count(a -> a.is(Verdict.REFUSED) && mLedger.hasRun(a.key())),
                "requests refused as not-run were executed");
        if (summary.maxRetries() > mObservations.retryAllowance()) {
            violations.add(
                    "P1 retries: "
                            + summary.maxRetries()
                            + " retries for one request, allowed: "
                            + mObservations.retryAllowance());
        }
        addIfAny(
                violations,
                "P2 class order",
                criticalShedEarly(CallClass.BROWSING),
                "critical requests were refused while critical demand was within capacity"
                        + " and browsing was served");
        addIfAny(
                violations,
                "P9 class order",
                criticalShedEarly(CallClass.NORMAL),
                "critical requests were refused while critical demand was within capacity"
                        + " and normal work was served");
        checkLeaving(violations);
        if (mObservations.spreadMs() < 0 || mObservations.spreadMs() > MAX_SPREAD_MS) {
            violations.add(
                    "P8 spread: " + mObservations.spreadMs() + " ms, allowed: " + MAX_SPREAD_MS);
        }
        addIfAny(
                violations,
                "P8 reverts",
                mObservations.reverts(),
                "reports of a lower configuration number than before");
        if (!mObservations.outagePushHeld()) {
            violations.add("P8 outage: a push during the store outage did not fail cleanly");
        }
        return violations;
    }

    private void checkLeaving(List<String> violations) {
        Leaving leaving = mObservations.leaving();
        if (leaving.lastNewWorkMs() > MAX_NEW_WORK_MS) {
            violations.add(
                    "P6 new work: the leaving server received new work after "
                            + leaving.lastNewWorkMs()
                            + " ms, allowed: "
                            + MAX_NEW_WORK_MS);
        }
        if (leaving.exitCode() != 0) {
            violations.add("P7 leaving: the node exited with code " + leaving.exitCode());
        }
        addIfAny(violations, "P7 cut off", cutOff(), "requests were cut off by the leaving server");
    }

    /**
     * Returns the number of requests that were still running when the leaving node exited, or that
     * ended with an unknown outcome or an error while it was shutting down. The demo injects no
     * other fault during that time, so all of these are attributed to the shutdown.
     */
    long cutOff() {
        Leaving leaving = mObservations.leaving();
        return leaving.inProgress()
                + count(
                        a ->
                                a.endNanos() >= leaving.leftNanos()
                                        && a.sentNanos() <= leaving.endNanos()
                                        && (a.is(Verdict.UNKNOWN) || a.is(Verdict.ERROR)));
    }

    /**
     * Returns the number of critical attempts that were shed although the critical attempts of the
     * preceding second were within capacity and an attempt of the given class, sent within half a
     * second of the shed one, was served.
     */
    long criticalShedEarly(CallClass served) {
        return shedCritical()
                .filter(a -> wasCriticalWithinCapacity(a) && isServed(served, a))
                .count();
    }

    private Stream<CallLog.Attempt> shedCritical() {
        return mAttempts.stream().filter(a -> a.workClass() == CallClass.CRITICAL && a.isShed());
    }

    /** Returns the number of shed critical attempts by second since the first attempt. */
    Map<Long, Long> shedCriticalBySecond() {
        long start = mAttempts.stream().mapToLong(CallLog.Attempt::sentNanos).min().orElse(0);
        return shedCritical()
                .collect(
                        Collectors.groupingBy(
                                a -> (a.sentNanos() - start) / SECOND_NANOS,
                                TreeMap::new,
                                Collectors.counting()));
    }

    private boolean wasCriticalWithinCapacity(CallLog.Attempt shed) {
        long offered =
                count(
                        a ->
                                a.workClass() == CallClass.CRITICAL
                                        && a.sentNanos() <= shed.sentNanos()
                                        && a.sentNanos() > shed.sentNanos() - SECOND_NANOS);
        return offered <= mObservations.criticalCapacity();
    }

    private boolean isServed(CallClass workClass, CallLog.Attempt shed) {
        return mAttempts.stream()
                .anyMatch(
                        a ->
                                a.workClass() == workClass
                                        && a.is(Verdict.WHOLE)
                                        && Math.abs(a.sentNanos() - shed.sentNanos())
                                                <= SECOND_NANOS / 2);
    }

    /** Returns the number of attempts without a complete response, by class, verdict and reason. */
    Map<String, Long> reasons() {
        return mAttempts.stream()
                .filter(a -> !a.is(Verdict.WHOLE))
                .collect(
                        Collectors.groupingBy(
                                a ->
                                        a.workClass()
                                                + " "
                                                + a.result().verdict()
                                                + " "
                                                + reason(a.result().detail()),
                                TreeMap::new,
                                Collectors.counting()));
    }

    /** Masks numbers and drops attempt details, so that equal reasons are counted together. */
    private static String reason(String detail) {
        return detail.replaceAll(" *\\(attempt.*", "").replaceAll("[0-9]+", "N");
    }

    private WorkLedger.Summary summary() {
        Set<String> whole =
                mAttempts.stream()
                        .filter(a -> a.is(Verdict.WHOLE))
                        .map(CallLog.Attempt::key)
                        .collect(Collectors.toSet());
        return mLedger.summary(whole);
    }

    private long shedCount(CallClass workClass) {
        return count(a -> a.workClass() == workClass && a.isShed());
    }

    private long count(Predicate<CallLog.Attempt> filter) {
        return mAttempts.stream().filter(filter).count();
    }

    private static void addIfAny(
            List<String> violations, String property, long count, String what) {
        if (count > 0) {
            violations.add(property + ": " + count + " " + what);
        }
    }
}
