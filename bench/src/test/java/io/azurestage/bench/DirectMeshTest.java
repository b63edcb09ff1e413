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
    private static final Duration TIMEOUT = Duration.ofMinutes(1);
    private static final List<MeshSettings.Share> SHARES =
            List.of(new MeshSettings.Share("p", 100, 10));
    private static final LoadPlan PLAN =
            new LoadPlan(
                    List.of(new Phase("only", Duration.ofMillis(200))),
                    List.of(
                            new Flow("p", CallClass.CRITICAL, "POST", "/x", List.of(50.0), 0),
                            new Flow("p", CallClass.NORMAL, "GET", "/y", List.of(50.0), 0)),
                    false,
                    TIMEOUT,
                    1);

    /**
     * Guards against executions that callers and backend servers count differently without faults.
     */
    @ParameterizedTest
    @EnumSource
    void unloadedChainExecutesEachRequestOnce(DirectPolicy policy) {
        Experiment.Outcome outcome =
                new Experiment(policy, Topology.chain(3), SHARES, TIMEOUT).run(PLAN);
        Figures figures = new Figures(PLAN, outcome.samples());
        assertThat(figures.success(s -> true)).isEqualTo(1);
        WorkLedger.Summary work = outcome.ledger().summary(figures.wholeKeys());
        assertThat(work.runs()).isEqualTo(3L * outcome.samples().size());
        assertThat(work.wastedNanos()).isZero();
        assertThat(work.maxRetries()).isZero();
        assertThat(work.duplicated()).isZero();
    }

    /** Guards against counting responses that the last service truncated as complete. */
    @ParameterizedTest
    @EnumSource
    void truncationAtLastServiceIsNeverComplete(DirectPolicy policy) {
        Policy truncating =
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
                new Experiment(truncating, Topology.chain(3), SHARES, TIMEOUT).run(PLAN);
        Figures figures = new Figures(PLAN, outcome.samples());
        assertThat(figures.success(s -> true)).isZero();
        WorkLedger.Summary work = outcome.ledger().summary(figures.wholeKeys());
        assertThat(work.wastedRatio()).isEqualTo(1);
        assertThat(work.maxRetries()).isPositive();
    }
}
