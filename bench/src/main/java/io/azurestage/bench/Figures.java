package io.azurestage.bench;

import io.azurestage.client.CallClass;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** Computes the figures of one run from the callers' samples. */
final class Figures {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double RECOVERED_RATIO = 0.95;

    private final LoadPlan mPlan;
    private final List<Sample> mSamples;

    Figures(LoadPlan plan, Collection<Sample> samples) {
        mPlan = plan;
        mSamples = List.copyOf(samples);
    }

    /** Returns a filter for samples whose intended send time is in a phase. */
    Predicate<Sample> sentIn(int phase) {
        return sentBetween(mPlan.startNanos(phase), mPlan.startNanos(phase + 1));
    }

    static Predicate<Sample> sentBetween(long from, long to) {
        return s -> s.intendedNanos() >= from && s.intendedNanos() < to;
    }

    Predicate<Sample> ofClass(CallClass workClass) {
        return s -> mPlan.flows().get(s.flow()).workClass() == workClass;
    }

    Predicate<Sample> ofPartner(String partner) {
        return s -> mPlan.flows().get(s.flow()).partner().equals(partner);
    }

    long count(Predicate<Sample> filter) {
        return mSamples.stream().filter(filter).count();
    }

    /** Returns the fraction of requests that got a complete response, or 1 if none was sent. */
    double success(Predicate<Sample> filter) {
        long offered = count(filter);
        return offered == 0 ? 1 : (double) count(filter.and(Sample::whole)) / offered;
    }

    /** Returns the rate per second of complete responses that arrived in an interval. */
    double goodputPerSecond(long from, long to) {
        long whole = count(s -> s.whole() && s.endNanos() >= from && s.endNanos() < to);
        return whole * (double) NANOS_PER_SECOND / (to - from);
    }

    Set<String> wholeKeys() {
        return mSamples.stream().filter(Sample::whole).map(Sample::key).collect(Collectors.toSet());
    }

    /**
     * Returns the time in milliseconds from the start of a phase to the first window in which
     * callers are served again, or -1 if the phase has no such window. Two ratios to the requests
     * sent in the window must reach 95 %: those of them that got a complete response, and the
     * complete responses that arrived in the window. The first alone would miss a growing delay;
     * the second alone would count responses to requests queued earlier.
     */
    long recoveryMs(int phase, long windowNanos, long stepNanos) {
        return firstWindowMs(
                phase,
                windowNanos,
                stepNanos,
                (from, to) -> {
                    long offered = count(sentBetween(from, to));
                    long whole = count(sentBetween(from, to).and(Sample::whole));
                    long answered =
                            count(s -> s.whole() && s.endNanos() >= from && s.endNanos() < to);
                    return offered > 0 && Math.min(whole, answered) >= RECOVERED_RATIO * offered;
                });
    }

    /**
     * Returns the time in milliseconds from the start of a phase to the first window in which 95 %
     * of the matching requests got a complete response, or -1 if the phase has no such window.
     */
    long servedMs(int phase, long windowNanos, long stepNanos, Predicate<Sample> filter) {
        return firstWindowMs(
                phase,
                windowNanos,
                stepNanos,
                (from, to) -> {
                    Predicate<Sample> sent = sentBetween(from, to).and(filter);
                    return count(sent) > 0 && success(sent) >= RECOVERED_RATIO;
                });
    }

    @FunctionalInterface
    private interface WindowCheck {
        boolean passes(long from, long to);
    }

    private long firstWindowMs(int phase, long windowNanos, long stepNanos, WindowCheck check) {
        long begin = mPlan.startNanos(phase);
        long end = mPlan.startNanos(phase + 1);
        for (long from = begin; from + windowNanos <= end; from += stepNanos) {
            if (check.passes(from, from + windowNanos)) {
                return (from - begin) / 1_000_000;
            }
        }
        return -1;
    }

    /** Returns a percentile of a duration in milliseconds, or -1 if no sample matches. */
    double percentileMs(double percentile, Predicate<Sample> filter, ToLongFunction<Sample> nanos) {
        Histogram histogram = new Histogram(3);
        mSamples.stream()
                .filter(filter)
                .forEach(s -> histogram.recordValue(Math.max(0, nanos.applyAsLong(s))));
        return histogram.getTotalCount() == 0
                ? -1
                : histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /**
     * Returns a latency percentile in milliseconds of complete responses, from the intended send
     * time.
     */
    double latencyMs(double percentile, Predicate<Sample> filter) {
        return percentileMs(
                percentile, filter.and(Sample::whole), s -> s.endNanos() - s.intendedNanos());
    }

    double senderLagMs(double percentile) {
        return percentileMs(percentile, s -> true, s -> s.sentNanos() - s.intendedNanos());
    }

    Map<String, Long> verdicts() {
        Map<String, Long> counts = new LinkedHashMap<>();
        for (Verdict verdict : Verdict.values()) {
            long n = count(s -> s.result().verdict() == verdict);
            counts.put(verdict.name().toLowerCase(Locale.ROOT), n);
        }
        return counts;
    }

    /** Returns the number of requests without a complete response, by verdict and reason. */
    Map<String, Integer> reasons() {
        Map<String, Integer> counts = new TreeMap<>();
        for (Sample sample : mSamples) {
            if (!sample.whole()) {
                String text = sample.result().verdict() + " " + sample.result().detail();
                // Mask ports, times and object ids, which would make every reason unique.
                String reason = text.replaceAll("@[0-9a-f]+", "").replaceAll("[0-9]+", "N");
                counts.merge(reason.substring(0, Math.min(60, reason.length())), 1, Integer::sum);
            }
        }
        return counts;
    }

    /** Returns the requests that ended in each second, by verdict, with refusals by kind. */
    List<Map<String, Integer>> series() {
        List<Map<String, Integer>> seconds = new ArrayList<>();
        for (Sample sample : mSamples) {
            int second = (int) (sample.endNanos() / NANOS_PER_SECOND);
            while (seconds.size() <= second) {
                seconds.add(new TreeMap<>());
            }
            Verdict verdict = sample.result().verdict();
            String name =
                    verdict == Verdict.REFUSED
                            ? "refused:" + sample.result().detail()
                            : verdict.name().toLowerCase(Locale.ROOT);
            seconds.get(second).merge(name, 1, Integer::sum);
        }
        return seconds;
    }
}
