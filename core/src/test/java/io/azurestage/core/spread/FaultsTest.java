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

class FaultsTest {
    private static final Duration HEALING = Duration.ofSeconds(120);

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

    /** Runs faults, and returns the mesh before it is healed. */
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
                case PARTITION -> mesh.mLink = (a, b) -> side(a, s) == side(b, s);
                case ONE_WAY_LOSS -> mesh.mLink = (a, b) -> !a.equals(node.mAddress);
                case HEAL -> mesh.mLink = (a, b) -> true;
                case LOSS -> mesh.mLoss = s.seconds() / 25.0;
                case DUPLICATION -> mesh.mDuplication = s.seconds() / 25.0;
                case DELAY -> mesh.mJitter = 100 * s.seconds();
                case STATE -> node.mMembership.setState(state(s));
                default -> {
                    // An even number of seconds repeats the number: two operators at once.
                    version = Math.max(1, version + s.seconds() % 2);
                    node.mSpread.offer(VirtualMesh.record(version, "c" + s.node(), 9));
                }
            }
            mesh.run(Duration.ofSeconds(s.seconds()));
        }
        return mesh;
    }

    private static int side(String address, Step s) {
        return address.hashCode() >>> s.node() % 8 & 1;
    }

    private static Member.State state(Step s) {
        Member.State[] states = Member.State.values();
        return states[s.seconds() % (states.length - 1)];
    }

    @Group
    class AfterAnyFaults {
        // Guards against views that stay apart, and against a version that is lost or goes back.
        @Property(seed = "61", tries = 1000)
        void aliveNodesAgreeOnMembersAndVersion(
                @ForAll @IntRange(min = 2, max = 9) int n,
                @ForAll long seed,
                @ForAll @Size(max = 30) List<@From("steps") Step> steps) {
            VirtualMesh mesh = run(n, seed, steps);
            mesh.heal();
            mesh.mJitter = 9;
            VersionId highest =
                    mesh.alive().stream()
                            .map(a -> a.mSpread.version())
                            .max(VersionId::compareTo)
                            .orElseThrow();
            mesh.run(HEALING);
            assertThat(mesh.agree()).as("members agree").isTrue();
            VersionId agreed = mesh.alive().get(0).mSpread.version();
            assertThat(agreed).isEqualTo(highest);
            for (VirtualMesh.Node a : mesh.alive()) {
                assertThat(a.mSpread.version()).isEqualTo(agreed);
                assertThat(a.mSpread.isBehind()).isFalse();
            }
            for (VirtualMesh.Node a : mesh.mNodes.values()) {
                assertThat(a.mAdopted).isSorted();
                assertThat(a.mAdopted).doesNotHaveDuplicates();
            }
        }
    }

    @Group
    class AFaultAtEachStep {
        enum Fault {
            LOSE_IT,
            LOSE_ITS_KIND_FOR_5S,
            PAUSE_SENDER,
            KILL_SENDER,
            RESTART_SENDER
        }

        // Guards against a step of the protocol that does not recover from one fault at the worst
        // moment: each fault strikes when the first message of each kind is about to be sent.
        @Property(seed = "68", generation = GenerationMode.EXHAUSTIVE)
        void leavesNodesThatAgree(@ForAll Fault fault, @ForAll Envelope.BodyCase step) {
            VirtualMesh mesh = new VirtualMesh(69);
            for (int i = 0; i < 6; i++) {
                mesh.start(i, 1, 6);
            }
            mesh.run(Duration.ofSeconds(20));
            long from = mesh.millis();
            boolean[] struck = new boolean[1];
            mesh.mFault = e -> e.getBodyCase() == step && strike(mesh, fault, e, struck, from);
            mesh.mLink = (a, b) -> mesh.millis() > from + 3_000 || !b.equals(mesh.node(5).mAddress);
            mesh.node(1).mMembership.setState(Member.State.DRAINING);
            mesh.node(2).mSpread.offer(VirtualMesh.record(1, "a", 9));
            mesh.run(Duration.ofSeconds(30));
            assertThat(struck[0]).isTrue();
            mesh.heal();
            mesh.run(HEALING);
            assertThat(mesh.agree()).isTrue();
            VersionId held = mesh.alive().get(0).mSpread.version();
            assertThat(mesh.alive()).allMatch(a -> a.mSpread.version().equals(held));
        }

        private static boolean strike(
                VirtualMesh mesh, Fault fault, Envelope e, boolean[] struck, long from) {
            if (struck[0]) {
                return fault == Fault.LOSE_ITS_KIND_FOR_5S && mesh.millis() < from + 5_000;
            }
            struck[0] = true;
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
        // Guards against a paused node that stays dead for the others, or keeps its stale view.
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
            mesh.node(1).mSpread.offer(VirtualMesh.record(3, "c", 9));
            paused.resume();
            mesh.run(Duration.ofSeconds(40));
            assertThat(mesh.agree()).isTrue();
            assertThat(paused.mSpread.version().number()).isEqualTo(3);
            assertThat(paused.mIsolations).as("a pause is not isolation").isZero();
        }

        // Guards against one lost link that takes a member out for all.
        @Example
        void doesNotFollowFromOneLostLink() {
            VirtualMesh mesh = new VirtualMesh(70);
            mesh.startAll(10);
            mesh.run(Duration.ofSeconds(30));
            String end = VirtualMesh.address(1);
            String other = VirtualMesh.address(2);
            mesh.mLink =
                    (a, b) ->
                            !(a.equals(end) && b.equals(other) || a.equals(other) && b.equals(end));
            mesh.run(Duration.ofMinutes(5));
            assertThat(mesh.alive()).allMatch(n -> n.mRefuted == 0);
            assertThat(mesh.agree()).isTrue();
        }

        // Guards against a node with a cut cable that takes all others for dead.
        @Example
        void isHeldBackAtAnIsolatedNode() {
            VirtualMesh mesh = new VirtualMesh(63);
            mesh.startAll(20);
            mesh.run(Duration.ofSeconds(30));
            String cut = VirtualMesh.address(4);
            mesh.mLink = (a, b) -> !a.equals(cut) && !b.equals(cut);
            mesh.run(Duration.ofMinutes(5));
            assertThat(mesh.node(4).mMembership.isIsolated()).isTrue();
            assertThat(mesh.node(4).mMembership.peers()).hasSize(19);
            assertThat(mesh.node(5).mMembership.peers()).hasSize(18);
            mesh.heal();
            mesh.run(Duration.ofSeconds(60));
            assertThat(mesh.agree()).isTrue();
            assertThat(mesh.node(4).mMembership.isIsolated()).isFalse();
        }
    }

    @Group
    class ManyNodes {
        // Guards against a mass start or the loss of a data centre that never settles.
        @Example
        void startTogetherAndLoseADataCentre() {
            VirtualMesh mesh = new VirtualMesh(64);
            mesh.startAll(80);
            mesh.run(Duration.ofSeconds(30));
            assertThat(mesh.agree()).as("after the start").isTrue();
            for (int i = 0; i < 80; i += 8) {
                mesh.node(i).mKilled = true;
            }
            mesh.run(Duration.ofSeconds(60));
            assertThat(mesh.agree()).as("after the loss").isTrue();
        }

        // Guards against members of the other region that stay dead after the regions meet again,
        // and against a node that takes its own region for dead because the other one says so.
        @Example
        void meetAgainAfterAnHourApartThoughTheSeedsAreGone() {
            VirtualMesh mesh = new VirtualMesh(65);
            for (int i = 0; i < 40; i++) {
                mesh.start(i, 1, 2);
            }
            mesh.run(Duration.ofSeconds(30));
            mesh.mLink = (a, b) -> region(a) == region(b);
            mesh.run(Duration.ofMinutes(30));
            mesh.node(0).mKilled = true;
            mesh.node(1).mKilled = true;
            mesh.run(Duration.ofMinutes(30));
            assertThat(mesh.node(2).mMembership.peers()).hasSize(18);
            mesh.alive().forEach(n -> n.mDeaths.clear());
            mesh.heal();
            mesh.run(HEALING);
            assertThat(mesh.agree()).isTrue();
            assertThat(mesh.alive()).allMatch(n -> n.mDeaths.isEmpty());
        }

        private static int region(String address) {
            return Integer.parseInt(address.substring(7, address.indexOf(':'))) % 2;
        }

        // Guards against a drain or a configuration that spreads only at the rate of probes.
        @Property(seed = "66", tries = 5)
        void learnOfADrainWithin3sAndOfAVersionWithin4s(@ForAll long seed) {
            VirtualMesh mesh = new VirtualMesh(seed);
            mesh.startAll(150);
            mesh.run(Duration.ofSeconds(40));
            mesh.mLoss = 0.02;
            VirtualMesh.Node leaving = mesh.node(7);
            leaving.mMembership.setState(Member.State.DRAINING);
            mesh.node(9).mSpread.offer(VirtualMesh.record(1, "c", 100_000));
            mesh.run(Duration.ofSeconds(3));
            assertThat(mesh.alive())
                    .allMatch(a -> a.view(leaving).state() == Member.State.DRAINING);
            mesh.run(Duration.ofSeconds(1));
            assertThat(mesh.alive()).allMatch(a -> a.mSpread.version().number() == 1);
        }
    }

    @Group
    class TwoDocumentsWithOneNumber {
        // Guards against nodes that keep different documents under the same number.
        @Property(seed = "67", tries = 20)
        void endWithTheSameWinnerEverywhereAndAreReported(@ForAll long seed) {
            VirtualMesh mesh = new VirtualMesh(seed);
            mesh.startAll(10);
            mesh.run(Duration.ofSeconds(20));
            mesh.node(1).mSpread.offer(VirtualMesh.record(5, "change-b", 10));
            mesh.node(2).mSpread.offer(VirtualMesh.record(5, "change-a", 20));
            mesh.run(Duration.ofSeconds(10));
            VersionId winner = new VersionId(5, "change-b");
            assertThat(mesh.alive()).allMatch(a -> a.mSpread.version().equals(winner));
            assertThat(mesh.node(2).mConflicts).containsExactly(new VersionId(5, "change-a"));
        }
    }
}
