package io.azurestage.bench;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.bench.standin.StandInBackend;
import io.azurestage.bench.standin.WorkLedger;
import io.azurestage.client.CallClass;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class DirectMeshTest {
    private static final Duration PATIENCE = Duration.ofMinutes(1);
    private static final List<MeshSettings.Share> SHARES =
            List.of(new MeshSettings.Share("p", 100, 10));
    private static final LoadPlan PLAN =
            new LoadPlan(
                    List.of(new Phase("only", Duration.ofMillis(200))),
                    List.of(
                            new Flow("p", CallClass.CRITICAL, "POST", "/x", List.of(50.0), 0),
                            new Flow("p", CallClass.NORMAL, "GET", "/y", List.of(50.0), 0)),
                    false,
                    PATIENCE,
                    1);

    /** Guards against callers, chain and counters that disagree when nothing fails. */
    @ParameterizedTest
    @EnumSource
    void unloadedChainAnswersEverythingOnce(DirectPolicy policy) {
        Experiment.Outcome outcome =
                new Experiment(policy, Topology.chain(3), SHARES, PATIENCE).run(PLAN);
        Figures figures = new Figures(PLAN, outcome.samples());
        assertThat(figures.success(s -> true)).isEqualTo(1);
        WorkLedger.Summary work = outcome.ledger().summary(figures.wholeKeys());
        assertThat(work.runs()).isEqualTo(3L * outcome.samples().size());
        assertThat(work.wastedNanos()).isZero();
        assertThat(work.maxRetries()).isZero();
        assertThat(work.duplicated()).isZero();
    }

    /** Guards against answers that were cut at the last level and are counted as whole. */
    @ParameterizedTest
    @EnumSource
    void brokenLastLevelIsNeverWhole(DirectPolicy policy) {
        Policy broken =
                new Policy() {
                    @Override
                    public String label() {
                        return policy.label();
                    }

                    @Override
                    public Mesh start(MeshSettings settings) {
                        Mesh mesh = policy.start(settings);
                        mesh.backends().stream()
                                .filter(b -> b.spec().next().isEmpty())
                                .map(StandInBackend::faults)
                                .forEach(faults -> faults.truncate(1));
                        return mesh;
                    }
                };
        Experiment.Outcome outcome =
                new Experiment(broken, Topology.chain(3), SHARES, PATIENCE).run(PLAN);
        Figures figures = new Figures(PLAN, outcome.samples());
        assertThat(figures.success(s -> true)).isZero();
        WorkLedger.Summary work = outcome.ledger().summary(figures.wholeKeys());
        assertThat(work.wastedRatio()).isEqualTo(1);
        assertThat(work.maxRetries()).isPositive();
    }
}
