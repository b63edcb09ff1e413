package io.azurestage.core.spread;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.membership.Member;
import io.azurestage.wire.generated.Envelope;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class FaultInjectionTest {
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(120);

    enum Kind {
        PAUSE,
        RESUME,
        KILL,
        RESTART,
        PARTITION,
        ONE_WAY_LOSS,
        HEAL,
        LOSS,
        DUPLICATION,
        DELAY,
        STATE,
        CONFIG
    }

    record Step(Kind kind, int node, int seconds) {}

    @Provide
    Arbitrary<Step> steps() {
        return Combinators.combine(
                        Arbitraries.of(Kind.class),
                        Arbitraries.integers().between(0, 99),
                        Arbitraries.integers().between(0, 20))
                .as(Step::new);
    }

    /** Runs a sequence of faults and returns the mesh with the faults still in effect. */
    private static VirtualMesh run(int n, long seed, List<Step> steps) {
        VirtualMesh mesh = new VirtualMesh(seed);
        mesh.startAll(n);
        int incarnation = 1;
        long version = 0;
        for (Step s : steps) {
            int index = s.node() % n;
            VirtualMesh.Node node = mesh.node(index);
            if (node.mKilled && s.kind() != Kind.RESTART) {
                continue;
            }
            switch (s.kind()) {
                case PAUSE -> node.mPaused = true;
                case RESUME -> node.resume();
                case KILL -> node.mKilled = mesh.alive().size() > 1;
                case RESTART -> {
                    node.mKilled = true;
                    mesh.start(index, ++incarnation, n);
                }
                case PARTITION ->
                        mesh.mConnectivity = (a, b) -> partitionSide(a, s) == partitionSide(b, s);
                case ONE_WAY_LOSS -> mesh.mConnectivity = (a, b) -> !a.equals(node.mAddress);
                case HEAL -> mesh.mConnectivity = (a, b) -> true;
                case LOSS -> mesh.mLoss = s.seconds() / 25.0;
                case DUPLICATION -> mesh.mDuplication = s.seconds() / 25.0;
                case DELAY -> mesh.mJitterMillis = 100 * s.seconds();
                case STATE -> node.mMembership.setState(state(s));
                default -> {
                    // An even number of seconds reuses the version number, as two operators who
                    // push at the same time would.
                    version = Math.max(1, version + s.seconds() % 2);
                    node.mConfigGossip.offer(VirtualMesh.record(version, "c" + s.node(), 9));
                }
            }
            mesh.run(Duration.ofSeconds(s.seconds()));
        }
        return mesh;
    }

    private static int partitionSide(String address, Step s) {
        return address.hashCode() >>> s.node() % 8 & 1;
    }

    private static Member.State state(Step s) {
        Member.State[] states = Member.State.values();
        return states[s.seconds() % (states.length - 1)];
    }

    @Group
    class AfterAnyFaults {
        // Guards against membership views that do not converge, and against a configuration version
        // that is lost or reverted.
        @Property(seed = "61", tries = 1000)
        void aliveNodesAgreeOnMembersAndVersion(
                @ForAll @IntRange(min = 2, max = 9) int n,
                @ForAll long seed,
                @ForAll @Size(max = 30) List<@From("steps") Step> steps) {
            VirtualMesh mesh = run(n, seed, steps);
            mesh.clearFaults();
            mesh.mJitterMillis = 9;
            VersionId highest =
                    mesh.alive().stream()
                            .map(a -> a.mConfigGossip.version())
                            .max(VersionId::compareTo)
                            .orElseThrow();
            mesh.run(RECOVERY_TIME);
            assertThat(mesh.membersAgree()).as("members agree").isTrue();
            VersionId agreed = mesh.alive().get(0).mConfigGossip.version();
            assertThat(agreed).isEqualTo(highest);
            for (VirtualMesh.Node a : mesh.alive()) {
                assertThat(a.mConfigGossip.version()).isEqualTo(agreed);
                assertThat(a.mConfigGossip.isBehind()).isFalse();
            }
            for (VirtualMesh.Node a : mesh.mNodes.values()) {
                assertThat(a.mAdopted).isSorted();
                assertThat(a.mAdopted).doesNotHaveDuplicates();
            }
        }
    }

    @Group
    class FaultAtEachStep {
        enum Fault {
            DROP_MESSAGE,
            DROP_MESSAGE_TYPE_FOR_5S,
            PAUSE_SENDER,
            KILL_SENDER,
            RESTART_SENDER
        }

        // Guards against a protocol step that does not recover from a single fault: each fault is
        // injected just before the first message of each type is sent.
        @Property(seed = "68", generation = GenerationMode.EXHAUSTIVE)
        void isFollowedByAgreement(@ForAll Fault fault, @ForAll Envelope.BodyCase messageType) {
            VirtualMesh mesh = new VirtualMesh(69);
            for (int i = 0; i < 6; i++) {
                mesh.start(i, 1, 6);
            }
            mesh.run(Duration.ofSeconds(20));
            long startMillis = mesh.millis();
            boolean[] injected = new boolean[1];
            mesh.mDropFilter =
                    e ->
                            e.getBodyCase() == messageType
                                    && inject(mesh, fault, e, injected, startMillis);
            mesh.mConnectivity =
                    (a, b) ->
                            mesh.millis() > startMillis + 3_000 || !b.equals(mesh.node(5).mAddress);
            mesh.node(1).mMembership.setState(Member.State.DRAINING);
            mesh.node(2).mConfigGossip.offer(VirtualMesh.record(1, "a", 9));
            mesh.run(Duration.ofSeconds(30));
            assertThat(injected[0]).isTrue();
            mesh.clearFaults();
            mesh.run(RECOVERY_TIME);
            assertThat(mesh.membersAgree()).isTrue();
            VersionId agreedVersion = mesh.alive().get(0).mConfigGossip.version();
            assertThat(mesh.alive()).allMatch(a -> a.mConfigGossip.version().equals(agreedVersion));
        }

        private static boolean inject(
                VirtualMesh mesh, Fault fault, Envelope e, boolean[] injected, long startMillis) {
            if (injected[0]) {
                return fault == Fault.DROP_MESSAGE_TYPE_FOR_5S
                        && mesh.millis() < startMillis + 5_000;
            }
            injected[0] = true;
            VirtualMesh.Node sender = mesh.mNodes.get(e.getReplyAddress());
            switch (fault) {
                case PAUSE_SENDER -> sender.mPaused = true;
                case KILL_SENDER -> sender.mKilled = true;
                case RESTART_SENDER -> {
                    sender.mKilled = true;
                    int index = Integer.parseInt(e.getFrom().getNodeId().substring(5));
                    mesh.start(index, 2, 6);
                }
                default -> {}
            }
            return true;
        }
    }

    @Group
    class Suspicion {
        // Guards against a paused node that remains dead in the views of others after it resumes,
        // or that keeps its stale view.
        @Property(seed = "62", tries = 40)
        void ofAPausedNodeIsRefuted(
                @ForAll @IntRange(min = 3, max = 12) int n,
                @ForAll @IntRange(min = 2, max = 90) int seconds,
                @ForAll long seed) {
            VirtualMesh mesh = new VirtualMesh(seed);
            mesh.startAll(n);
            mesh.run(Duration.ofSeconds(20));
            VirtualMesh.Node paused = mesh.node(0);
            paused.mPaused = true;
            mesh.run(Duration.ofSeconds(seconds));
            mesh.node(1).mMembership.setState(Member.State.DRAINING);
            mesh.node(1).mConfigGossip.offer(VirtualMesh.record(3, "c", 9));
            paused.resume();
            mesh.run(Duration.ofSeconds(40));
            assertThat(mesh.membersAgree()).isTrue();
            assertThat(paused.mConfigGossip.version().number()).isEqualTo(3);
            assertThat(paused.mIsolations).as("a pause is not isolation").isZero();
        }

        // Guards against a member that all nodes declare dead because a single link is down.
        @Example
        void doesNotResultFromOneBrokenLink() {
            VirtualMesh mesh = new VirtualMesh(70);
            mesh.startAll(10);
            mesh.run(Duration.ofSeconds(30));
            String end = VirtualMesh.address(1);
            String other = VirtualMesh.address(2);
            mesh.mConnectivity =
                    (a, b) ->
                            !(a.equals(end) && b.equals(other) || a.equals(other) && b.equals(end));
            mesh.run(Duration.ofMinutes(5));
            assertThat(mesh.alive()).allMatch(n -> n.mRefutations == 0);
            assertThat(mesh.membersAgree()).isTrue();
        }

        // Guards against an isolated node that declares all other nodes dead.
        @Example
        void isSuppressedAtAnIsolatedNode() {
            VirtualMesh mesh = new VirtualMesh(63);
            mesh.startAll(20);
            mesh.run(Duration.ofSeconds(30));
            String isolated = VirtualMesh.address(4);
            mesh.mConnectivity = (a, b) -> !a.equals(isolated) && !b.equals(isolated);
            mesh.run(Duration.ofMinutes(5));
            assertThat(mesh.node(4).mMembership.isIsolated()).isTrue();
            assertThat(mesh.node(4).mMembership.peers()).hasSize(19);
            assertThat(mesh.node(5).mMembership.peers()).hasSize(18);
            mesh.clearFaults();
            mesh.run(Duration.ofSeconds(60));
            assertThat(mesh.membersAgree()).isTrue();
            assertThat(mesh.node(4).mMembership.isIsolated()).isFalse();
        }
    }

    @Group
    class ManyNodes {
        // Guards against views that do not converge after a mass start or the loss of a data
        // centre.
        @Example
        void startTogetherAndLoseADataCentre() {
            VirtualMesh mesh = new VirtualMesh(64);
            mesh.startAll(80);
            mesh.run(Duration.ofSeconds(30));
            assertThat(mesh.membersAgree()).as("after the start").isTrue();
            for (int i = 0; i < 80; i += 8) {
                mesh.node(i).mKilled = true;
            }
            mesh.run(Duration.ofSeconds(60));
            assertThat(mesh.membersAgree()).as("after the loss").isTrue();
        }

        // Guards against members of the other region that stay dead after a partition between the
        // regions ends, and against a node that declares members of its own region dead because the
        // other region reports them dead.
        @Example
        void rejoinAfterAnHourOfPartitionAlthoughTheSeedsAreDead() {
            VirtualMesh mesh = new VirtualMesh(65);
            for (int i = 0; i < 40; i++) {
                mesh.start(i, 1, 2);
            }
            mesh.run(Duration.ofSeconds(30));
            mesh.mConnectivity = (a, b) -> region(a) == region(b);
            mesh.run(Duration.ofMinutes(30));
            mesh.node(0).mKilled = true;
            mesh.node(1).mKilled = true;
            mesh.run(Duration.ofMinutes(30));
            assertThat(mesh.node(2).mMembership.peers()).hasSize(18);
            mesh.alive().forEach(n -> n.mReportedDead.clear());
            mesh.clearFaults();
            mesh.run(RECOVERY_TIME);
            assertThat(mesh.membersAgree()).isTrue();
            assertThat(mesh.alive()).allMatch(n -> n.mReportedDead.isEmpty());
        }

        private static int region(String address) {
            return Integer.parseInt(address.substring(7, address.indexOf(':'))) % 2;
        }

        // Guards against a drain or a configuration that spreads only with the periodic probes.
        @Property(seed = "66", tries = 5)
        void receiveADrainWithin3sAndAVersionWithin4s(@ForAll long seed) {
            VirtualMesh mesh = new VirtualMesh(seed);
            mesh.startAll(150);
            mesh.run(Duration.ofSeconds(40));
            mesh.mLoss = 0.02;
            VirtualMesh.Node draining = mesh.node(7);
            draining.mMembership.setState(Member.State.DRAINING);
            mesh.node(9).mConfigGossip.offer(VirtualMesh.record(1, "c", 100_000));
            mesh.run(Duration.ofSeconds(3));
            assertThat(mesh.alive())
                    .allMatch(a -> a.view(draining).state() == Member.State.DRAINING);
            mesh.run(Duration.ofSeconds(1));
            assertThat(mesh.alive()).allMatch(a -> a.mConfigGossip.version().number() == 1);
        }
    }

    @Group
    class TwoDocumentsWithTheSameNumber {
        // Guards against nodes that keep different documents under the same number.
        @Property(seed = "67", tries = 20)
        void endWithTheSameWinnerEverywhereAndAreReported(@ForAll long seed) {
            VirtualMesh mesh = new VirtualMesh(seed);
            mesh.startAll(10);
            mesh.run(Duration.ofSeconds(20));
            mesh.node(1).mConfigGossip.offer(VirtualMesh.record(5, "change-b", 10));
            mesh.node(2).mConfigGossip.offer(VirtualMesh.record(5, "change-a", 20));
            mesh.run(Duration.ofSeconds(10));
            VersionId winner = new VersionId(5, "change-b");
            assertThat(mesh.alive()).allMatch(a -> a.mConfigGossip.version().equals(winner));
            assertThat(mesh.node(2).mConflicts).containsExactly(new VersionId(5, "change-a"));
        }
    }
}
