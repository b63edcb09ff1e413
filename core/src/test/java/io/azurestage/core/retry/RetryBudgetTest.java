package io.azurestage.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    private static final double RATIO = 0.2;
    private static final double CONSTANT = 48;
    private static final double LARGE_CONSTANT = 124;
    private static final int LARGE_RATE = 200;
    private static final double LEAST_IMPORTANT_RESERVE = 0.5;
    private static final Duration WINDOW = Duration.ofSeconds(10);

    @Property(tries = 60, seed = "11")
    void retriesOfAllNodesStayWithinTheBoundInEveryWindow(
            @ForAll @IntRange(min = 2, max = 40) int nodes, @ForAll long seed) {
        ManualTimeSource time = new ManualTimeSource();
        Random random = new Random(seed);
        List<RetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            budgets.add(newBudget(time, nodes));
        }
        int steps = 400;
        int window = 100;
        int[] requests = new int[steps];
        int[] retries = new int[steps];
        for (int t = 0; t < steps; t++) {
            int load = random.nextInt(60);
            for (int i = 0; i < load; i++) {
                RetryBudget b = budgets.get(random.nextInt(nodes));
                b.recordRequest("s");
                requests[t]++;
                retries[t] += b.tryRetry("s", 0) ? 1 : 0;
                retries[t] += b.tryRetry("s", 0) ? 1 : 0;
            }
            if (random.nextInt(50) == 0) {
                budgets.set(random.nextInt(nodes), newBudget(time, nodes));
            }
            time.advance(WINDOW.dividedBy(window));
        }
        for (int from = 0; from + window <= steps; from++) {
            int requested = 0;
            int retried = 0;
            for (int t = from; t < from + window; t++) {
                requested += requests[t];
                retried += retries[t];
            }
            assertThat((double) retried).isLessThanOrEqualTo(RATIO * requested + CONSTANT);
        }
    }

    @Test
    void newBudgetIsEmpty() {
        assertThat(newBudget(new ManualTimeSource(), 4).tryRetry("s", 0)).isFalse();
    }

    @Test
    void reserveIsKeptForMoreImportantWork() {
        ManualTimeSource time = new ManualTimeSource();
        RetryBudget b = newBudget(time, 4);
        b.left("s");
        time.advance(WINDOW.multipliedBy(10));
        while (b.tryRetry("s", 0.5)) {
            assertThat(b.left("s")).isPositive();
        }
        assertThat(b.tryRetry("s", 0)).isTrue();
    }

    /**
     * Guards against a budget that is split over too many nodes: a service of 33 servers, called
     * through 95 entry nodes, fails one request in ten for some seconds. Kept at the entry nodes,
     * the budget granted no retries to less important work, because no entry node ever held more
     * than one token.
     */
    @Test
    void budgetAtServersStillGrantsRetriesToTheLeastImportantWork() {
        Retries atEntryNodes = simulate(95);
        Retries atServers = simulate(33);
        assertThat(atServers.granted).isGreaterThan(atServers.failed * 6 / 10);
        assertThat(atServers.granted).isGreaterThan(atEntryNodes.granted);
        assertThat((double) atServers.granted)
                .isLessThanOrEqualTo(RATIO * atServers.requests + LARGE_CONSTANT);
    }

    @Test
    void chargesReduceTheTokensLeft() {
        ManualTimeSource time = new ManualTimeSource();
        RetryBudget b = newBudget(time, 4);
        b.left("s");
        time.advance(WINDOW.multipliedBy(10));
        double full = b.left("s");
        b.charge("s");
        assertThat(b.left("s")).isEqualTo(full - 1);
        for (int i = 0; i < 100; i++) {
            b.charge("s");
        }
        assertThat(b.left("s")).isEqualTo(-full);
        assertThat(b.tryRetry("s", 0)).isFalse();
    }

    private record Retries(int requests, int failed, int granted) {}

    private static Retries simulate(int nodes) {
        ManualTimeSource time = new ManualTimeSource();
        Random random = new Random(7);
        List<RetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            RetryBudget b = new RetryBudget(time, RATIO, LARGE_CONSTANT, WINDOW);
            b.setNodeCount(nodes);
            budgets.add(b);
        }
        int failed = 0;
        int granted = 0;
        int window = LARGE_RATE * (int) WINDOW.toSeconds();
        for (int i = 0; i < 2 * window; i++) {
            time.advance(Duration.ofSeconds(1).dividedBy(LARGE_RATE));
            RetryBudget b = budgets.get(random.nextInt(nodes));
            b.recordRequest("s");
            if (i >= window && random.nextInt(10) == 0) {
                failed++;
                granted += b.tryRetry("s", LEAST_IMPORTANT_RESERVE) ? 1 : 0;
            }
        }
        return new Retries(window, failed, granted);
    }

    private static RetryBudget newBudget(ManualTimeSource time, int nodes) {
        RetryBudget b = new RetryBudget(time, RATIO, CONSTANT, WINDOW);
        b.setNodeCount(nodes);
        return b;
    }
}
