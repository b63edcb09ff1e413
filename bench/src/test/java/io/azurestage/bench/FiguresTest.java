package io.azurestage.bench;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.azurestage.client.CallClass;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class FiguresTest {
    private static final long MS = 1_000_000;
    private static final long SECOND = 1000 * MS;
    private static final Flow FLOW =
            new Flow("p", CallClass.NORMAL, "GET", "/checks", List.of(0.0, 0.0), 0);
    private static final LoadPlan PLAN =
            new LoadPlan(
                    List.of(
                            new Phase("surge", Duration.ofSeconds(10)),
                            new Phase("after", Duration.ofSeconds(10))),
                    List.of(FLOW),
                    false,
                    Duration.ofSeconds(2),
                    1);

    private static Sample sample(long intended, long end, Verdict verdict) {
        AttemptResult ending = new AttemptResult(verdict, "x");
        return new Sample(0, "r" + intended + ".0", intended, intended, end, ending);
    }

    /**
     * One request each 10 ms; those of the second phase fail until {@code healthy} ms have passed.
     */
    private static List<Sample> load(int healthy, long latency) {
        List<Sample> samples = new ArrayList<>();
        for (long t = 0; t < 20 * SECOND; t += 10 * MS) {
            boolean whole = t < 10 * SECOND || t >= 10 * SECOND + healthy * MS;
            samples.add(sample(t, t + latency, whole ? Verdict.WHOLE : Verdict.UNKNOWN));
        }
        return samples;
    }

    private static long recovery(List<Sample> samples) {
        return new Figures(PLAN, samples).recoveryMs(1, SECOND, 50 * MS);
    }

    /** Guards against a recovery that is counted from another moment or in whole seconds only. */
    @Property(seed = "51", tries = 40)
    void recoveryIsWithinOneStepOfTheTruth(@ForAll @IntRange(max = 8000) int healthy) {
        // Up to 5 % of the window, 50 ms of its requests, may still have failed.
        long found = recovery(load(healthy, MS));
        assertThat(found).isBetween(Math.max(0, healthy - 60L), healthy + 60L);
    }

    /** Guards against answers to an old queue that pass for recovery while new requests fail. */
    @Test
    void answersToOldRequestsAreNoRecovery() {
        List<Sample> samples = load(20_000, MS);
        for (long t = 0; t < 10 * SECOND; t += 10 * MS) {
            samples.add(sample(t, t + 10 * SECOND, Verdict.WHOLE));
        }
        assertThat(recovery(samples)).isEqualTo(-1);
    }

    /** Guards against a growing delay that passes for recovery. */
    @Test
    void answersThatComeLaterAndLaterAreNoRecovery() {
        List<Sample> samples = new ArrayList<>();
        for (long t = 0; t < 20 * SECOND; t += 10 * MS) {
            long delay = Math.max(0, t - 10 * SECOND) / 2;
            samples.add(sample(t, t + delay, Verdict.WHOLE));
        }
        assertThat(recovery(samples)).isEqualTo(-1);
    }

    /** Guards against figures that count anything but whole answers as goodput. */
    @Test
    void onlyWholeAnswersCount() {
        List<Sample> samples = new ArrayList<>();
        for (Verdict verdict : Verdict.values()) {
            samples.add(sample(SECOND, 2 * SECOND, verdict));
        }
        Figures figures = new Figures(PLAN, samples);
        assertThat(figures.goodputPerSecond(0, 10 * SECOND)).isEqualTo(0.1);
        assertThat(figures.success(s -> true)).isEqualTo(1.0 / Verdict.values().length);
        assertThat(figures.verdicts().values()).containsOnly(1L);
        assertThat(figures.series().get(2))
                .containsEntry("refused:x", 1)
                .containsEntry("whole", 1)
                .containsEntry("misdelivered", 1);
        assertThat(figures.latencyMs(50, s -> true)).isCloseTo(1000, within(1.0));
    }
}
