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

/** Counts what callers and backend servers saw in the demo and checks the properties. */
final class DemoCheck {
    static final long MAX_SPREAD_MS = 4_000;
    static final long MAX_NEW_WORK_MS = 3_000;

    private static final long SECOND = 1_000_000_000L;

    private final List<CallLog.Attempt> mAttempts;
    private final WorkLedger mLedger;
    private final Observations mSeen;

    /**
     * What was seen beside the calls.
     *
     * @param retryAllowance most retries of one request
     * @param criticalCapacity requests each second that the slowest service carries at least
     * @param spreadMs time until the pushed version was in force everywhere, or -1
     * @param reverts reports of a lower configuration number than before
     * @param outagePushHeld whether the push during the outage failed and changed nothing
     * @param leaving what the leaving server saw
     */
    record Observations(
            int retryAllowance,
            double criticalCapacity,
            long spreadMs,
            int reverts,
            boolean outagePushHeld,
            Leaving leaving) {}

    /** A leaving server: its last new work, and requests in progress when its node ended. */
    record Leaving(
            long leftNanos, long endNanos, int exitCode, long lastNewWorkMs, int inProgress) {}

    DemoCheck(List<CallLog.Attempt> attempts, WorkLedger ledger, Observations seen) {
        mAttempts = List.copyOf(attempts);
        mLedger = ledger;
        mSeen = seen;
    }

    /** Returns the figures of the last line. */
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
        figures.put("browsing_refused", shed(CallClass.BROWSING));
        figures.put("critical_refused", shed(CallClass.CRITICAL));
        figures.put("config_spread_ms", mSeen.spreadMs());
        return figures;
    }

    /** Returns one message for each property that was broken. */
    List<String> broken() {
        List<String> broken = new ArrayList<>();
        WorkLedger.Summary summary = summary();
        check(broken, "P3 partial", count(a -> a.is(Verdict.PARTIAL)), "partial responses");
        check(
                broken,
                "P3 misdelivered",
                count(a -> a.is(Verdict.MISDELIVERED)),
                "responses to another request");
        check(broken, "P5 duplicated", summary.duplicated(), "critical requests ran twice");
        check(
                broken,
                "P4 not-run",
                count(a -> a.is(Verdict.REFUSED) && mLedger.hasRun(a.key())),
                "requests refused with not-run ran");
        if (summary.maxRetries() > mSeen.retryAllowance()) {
            broken.add(
                    "P1 retries: "
                            + summary.maxRetries()
                            + " retries for one request, allowed are "
                            + mSeen.retryAllowance());
        }
        check(
                broken,
                "P2 class order",
                criticalShedEarly(CallClass.BROWSING),
                "critical requests were refused while critical demand fitted and browsing was"
                        + " served");
        check(
                broken,
                "P9 class order",
                criticalShedEarly(CallClass.NORMAL),
                "critical requests were refused while critical demand fitted and normal work was"
                        + " served");
        leaving(broken);
        if (mSeen.spreadMs() < 0 || mSeen.spreadMs() > MAX_SPREAD_MS) {
            broken.add("P8 spread: " + mSeen.spreadMs() + " ms, allowed are " + MAX_SPREAD_MS);
        }
        check(broken, "P8 reverts", mSeen.reverts(), "reports of a lower configuration number");
        if (!mSeen.outagePushHeld()) {
            broken.add("P8 outage: a push while the store was down did not fail cleanly");
        }
        return broken;
    }

    private void leaving(List<String> broken) {
        Leaving leaving = mSeen.leaving();
        if (leaving.lastNewWorkMs() > MAX_NEW_WORK_MS) {
            broken.add(
                    "P6 new work: the leaving server got new work after "
                            + leaving.lastNewWorkMs()
                            + " ms, allowed are "
                            + MAX_NEW_WORK_MS);
        }
        if (leaving.exitCode() != 0) {
            broken.add("P7 leaving: the node ended with exit code " + leaving.exitCode());
        }
        check(broken, "P7 cut off", cutOff(), "requests were cut off by the leaving server");
    }

    /**
     * Returns the requests that still ran when the leaving node ended, or that ended without a
     * certain outcome while it was leaving. Nothing else goes wrong in that time.
     */
    long cutOff() {
        Leaving leaving = mSeen.leaving();
        return leaving.inProgress()
                + count(
                        a ->
                                a.endNanos() >= leaving.leftNanos()
                                        && a.sentNanos() <= leaving.endNanos()
                                        && (a.is(Verdict.UNKNOWN) || a.is(Verdict.ERROR)));
    }

    /**
     * Returns the critical attempts that were refused while all critical attempts of the second
     * before would have fitted and work of the other class that was sent within half a second was
     * served.
     */
    long criticalShedEarly(CallClass served) {
        return shedCritical().filter(a -> criticalFitted(a) && isServed(served, a)).count();
    }

    private Stream<CallLog.Attempt> shedCritical() {
        return mAttempts.stream().filter(a -> a.workClass() == CallClass.CRITICAL && a.isShed());
    }

    /** Returns the critical attempts that were refused, by second of the load. */
    Map<Long, Long> shedCriticalBySecond() {
        long start = mAttempts.stream().mapToLong(CallLog.Attempt::sentNanos).min().orElse(0);
        return shedCritical()
                .collect(
                        Collectors.groupingBy(
                                a -> (a.sentNanos() - start) / SECOND,
                                TreeMap::new,
                                Collectors.counting()));
    }

    private boolean criticalFitted(CallLog.Attempt shed) {
        long offered =
                count(
                        a ->
                                a.workClass() == CallClass.CRITICAL
                                        && a.sentNanos() <= shed.sentNanos()
                                        && a.sentNanos() > shed.sentNanos() - SECOND);
        return offered <= mSeen.criticalCapacity();
    }

    private boolean isServed(CallClass workClass, CallLog.Attempt shed) {
        return mAttempts.stream()
                .anyMatch(
                        a ->
                                a.workClass() == workClass
                                        && a.is(Verdict.WHOLE)
                                        && Math.abs(a.sentNanos() - shed.sentNanos())
                                                <= SECOND / 2);
    }

    /** Returns what ended other than whole, by class and reason. */
    Map<String, Long> reasons() {
        return mAttempts.stream()
                .filter(a -> !a.is(Verdict.WHOLE))
                .collect(
                        Collectors.groupingBy(
                                a ->
                                        a.workClass()
                                                + " "
                                                + a.ending().verdict()
                                                + " "
                                                + reason(a.ending().detail()),
                                TreeMap::new,
                                Collectors.counting()));
    }

    /** Leaves out numbers and addresses, so that equal reasons are counted together. */
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

    private long shed(CallClass workClass) {
        return count(a -> a.workClass() == workClass && a.isShed());
    }

    private long count(Predicate<CallLog.Attempt> filter) {
        return mAttempts.stream().filter(filter).count();
    }

    private static void check(List<String> broken, String property, long count, String what) {
        if (count > 0) {
            broken.add(property + ": " + count + " " + what);
        }
    }
}
