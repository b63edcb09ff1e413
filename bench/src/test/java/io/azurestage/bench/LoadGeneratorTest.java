package io.azurestage.bench;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.bench.standin.RequestKey;
import io.azurestage.client.CallClass;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class LoadGeneratorTest {
    private static final List<Phase> PHASES =
            List.of(
                    new Phase("base", Duration.ofSeconds(10)),
                    new Phase("surge", Duration.ofSeconds(20)),
                    new Phase("after", Duration.ofSeconds(10)));

    private static LoadPlan plan(boolean poisson, long seed, int callerRetries, Double... rates) {
        Flow flow =
                new Flow("p", CallClass.NORMAL, "GET", "/checks", List.of(rates), callerRetries);
        return new LoadPlan(PHASES, List.of(flow, flow), poisson, Duration.ofSeconds(1), seed);
    }

    private static List<Long> sendTimes(LoadPlan plan, int flow) {
        Arrivals arrivals = new Arrivals(plan, flow);
        List<Long> times = new ArrayList<>();
        for (long t = arrivals.next(); t >= 0; t = arrivals.next()) {
            times.add(t);
        }
        return times;
    }

    private static long countInPhase(List<Long> times, LoadPlan plan, int phase) {
        return times.stream()
                .filter(t -> t >= plan.startNanos(phase) && t < plan.startNanos(phase + 1))
                .count();
    }

    /** Guards against rate changes that take effect late, and requests lost at phase boundaries. */
    @Property(seed = "31", tries = 30)
    void constantRateGivesExactCountPerPhase(
            @ForAll @IntRange(max = 300) int base, @ForAll @IntRange(max = 300) int surge) {
        LoadPlan plan = plan(false, 1, 0, (double) base, (double) surge, (double) base);
        List<Long> times = sendTimes(plan, 0);
        assertThat(times).isSorted();
        assertThat((double) countInPhase(times, plan, 0))
                .isBetween(base * 10 - 1.0, base * 10 + 1.0);
        assertThat((double) countInPhase(times, plan, 1))
                .isBetween(surge * 20 - 1.0, surge * 20 + 1.0);
    }

    /** Guards against a biased rate. Allows six standard deviations of the Poisson count. */
    @Property(seed = "32", tries = 30)
    void poissonRateIsUnbiased(@ForAll long seed, @ForAll @IntRange(min = 1, max = 300) int rate) {
        LoadPlan plan = plan(true, seed, 0, 0.0, (double) rate, 0.0);
        double count = sendTimes(plan, 0).size();
        assertThat(Math.abs(count - rate * 20)).isLessThan(6 * Math.sqrt(rate * 20));
        assertThat(countInPhase(sendTimes(plan, 0), plan, 1)).isEqualTo((long) count);
    }

    /** Guards against unreproducible runs, and against flows that send at identical times. */
    @Property(seed = "33", tries = 20)
    void seedDeterminesSendTimes(@ForAll long seed) {
        LoadPlan plan = plan(true, seed, 0, 10.0, 20.0, 10.0);
        assertThat(sendTimes(plan, 0))
                .isEqualTo(sendTimes(plan, 0))
                .isNotEqualTo(sendTimes(plan, 1));
        LoadPlan other = plan(true, seed + 1, 0, 10.0, 20.0, 10.0);
        assertThat(sendTimes(plan, 0)).isNotEqualTo(sendTimes(other, 0));
    }

    /** Guards against a closed loop, in which a slow server would slow down the generator. */
    @Test
    void sendsOnTimeWhileNoResponseArrives() {
        VirtualPacer pacer = new VirtualPacer();
        Caller slow =
                (flow, key, deadline) -> {
                    CompletableFuture<AttemptResult> result = new CompletableFuture<>();
                    pacer.after(
                            Duration.ofSeconds(9).toNanos(),
                            () -> result.complete(new AttemptResult(Verdict.WHOLE, "")));
                    return result;
                };
        LoadPlan plan = plan(false, 1, 0, 10.0, 100.0, 10.0);
        List<Sample> samples = run(plan, slow, pacer);
        assertThat(samples).hasSize(2 * sendTimes(plan, 0).size());
        assertThat(samples)
                .allSatisfy(
                        s -> {
                            assertThat(s.sentNanos()).isEqualTo(s.intendedNanos());
                            assertThat(s.endNanos() - s.intendedNanos()).isEqualTo(9_000_000_000L);
                        });
    }

    /** Guards against unbounded retries, and against counting a retry as a new request. */
    @Property(seed = "34", tries = 30)
    void impatientCallerRetriesUpToTheLimit(
            @ForAll @IntRange(max = 5) int callerRetries, @ForAll @IntRange(max = 7) int failures) {
        VirtualPacer pacer = new VirtualPacer();
        Map<String, Integer> calls = new HashMap<>();
        Caller failing =
                (flow, key, deadline) -> {
                    int before = calls.merge(key.id(), 1, Integer::sum) - 1;
                    assertThat(key).extracting(RequestKey::attempt).isEqualTo(before);
                    Verdict verdict = before < failures ? Verdict.REFUSED : Verdict.WHOLE;
                    return CompletableFuture.completedFuture(
                            new AttemptResult(verdict, "overloaded"));
                };
        LoadPlan plan = plan(false, 1, callerRetries, 5.0, 5.0, 5.0);
        List<Sample> samples = run(plan, failing, pacer);
        int attempts = Math.min(failures, callerRetries) + 1;
        assertThat(samples).hasSize(2 * sendTimes(plan, 0).size());
        assertThat(calls.values()).containsOnly(attempts);
        assertThat(samples).allMatch(s -> s.whole() == failures <= callerRetries);
    }

    /** Runs the generator, and advances virtual time after the last send until all requests end. */
    private static List<Sample> run(LoadPlan plan, Caller caller, VirtualPacer pacer) {
        List<Sample> samples = new ArrayList<>();
        LoadGenerator generator =
                new LoadGenerator(
                        plan,
                        caller,
                        pacer,
                        () -> pacer.waitUntil(pacer.nanos() + Duration.ofMinutes(1).toNanos()));
        samples.addAll(generator.run());
        return samples;
    }
}
