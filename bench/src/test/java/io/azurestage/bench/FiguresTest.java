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
        AttemptResult result = new AttemptResult(verdict, "x");
        return new Sample(0, "r" + intended + ".0", intended, intended, end, result);
    }

    /**
     * Returns one request every 10 ms; those of the second phase fail for the first {@code
     * outageMillis} ms.
     */
    private static List<Sample> load(int outageMillis, long latency) {
        List<Sample> samples = new ArrayList<>();
        for (long t = 0; t < 20 * SECOND; t += 10 * MS) {
            boolean whole = t < 10 * SECOND || t >= 10 * SECOND + outageMillis * MS;
            samples.add(sample(t, t + latency, whole ? Verdict.WHOLE : Verdict.UNKNOWN));
        }
        return samples;
    }

    private static long recovery(List<Sample> samples) {
        return new Figures(PLAN, samples).recoveryMs(1, SECOND, 50 * MS);
    }

    /** Guards against a recovery time with a wrong start or a resolution of whole seconds. */
    @Property(seed = "51", tries = 40)
    void recoveryTimeIsAccurateToOneStep(@ForAll @IntRange(max = 8000) int outageMillis) {
        // Up to 5 % of the requests in the window, those of 50 ms, may still have failed.
        long recoveryMs = recovery(load(outageMillis, MS));
        assertThat(recoveryMs).isBetween(Math.max(0, outageMillis - 60L), outageMillis + 60L);
    }

    /** Guards against counting responses to queued old requests as recovery while new ones fail. */
    @Test
    void responsesToOldRequestsAreNoRecovery() {
        List<Sample> samples = load(20_000, MS);
        for (long t = 0; t < 10 * SECOND; t += 10 * MS) {
            samples.add(sample(t, t + 10 * SECOND, Verdict.WHOLE));
        }
        assertThat(recovery(samples)).isEqualTo(-1);
    }

    /** Guards against reporting recovery while the delay of responses keeps growing. */
    @Test
    void growingDelayIsNoRecovery() {
        List<Sample> samples = new ArrayList<>();
        for (long t = 0; t < 20 * SECOND; t += 10 * MS) {
            long delay = Math.max(0, t - 10 * SECOND) / 2;
            samples.add(sample(t, t + delay, Verdict.WHOLE));
        }
        assertThat(recovery(samples)).isEqualTo(-1);
    }

    /** Guards against counting anything but complete responses as goodput. */
    @Test
    void onlyCompleteResponsesCount() {
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
