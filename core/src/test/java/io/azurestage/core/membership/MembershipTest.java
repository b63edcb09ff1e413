package io.azurestage.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.membership.Member.Liveness;
import io.azurestage.core.membership.Member.State;
import io.azurestage.core.time.ManualTimeSource;
import io.azurestage.wire.generated.Ack;
import io.azurestage.wire.generated.Envelope;
import io.azurestage.wire.generated.NodeRef;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class MembershipTest {
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final List<Envelope> mSent = new ArrayList<>();
    private final List<Long> mSuperseded = new ArrayList<>();
    private final Membership mNode =
            new Membership(
                    member("node-a", 5, 1, State.SERVING, Liveness.ALIVE),
                    mTime,
                    new Random(1),
                    (address, message, transport) -> mSent.add(message.build()),
                    new MembershipListener() {
                        @Override
                        public void onSuperseded(long incarnation) {
                            mSuperseded.add(incarnation);
                        }
                    });

    private static Member member(String id, long incarnation, int revision, State s, Liveness l) {
        return new Member(
                new NodeIdentity(id, incarnation),
                revision,
                "bookings",
                new Member.Addresses("10.0.0.1:1", "10.0.0.1:7400", "10.0.0.1:2"),
                new Member.Location("dc-0", "region-0"),
                s,
                l,
                10,
                0);
    }

    private void receiveRecord(Member m) {
        NodeRef from = NodeRef.newBuilder().setNodeId("node-c").setIncarnation(1).build();
        mNode.receive(
                Envelope.newBuilder().setFrom(from).addUpdates(MemberCodec.toFull(m)).build());
    }

    private Member view(String id) {
        return mNode.members().stream().filter(m -> m.nodeId().equals(id)).findFirst().orElse(null);
    }

    @Group
    class Updates {
        // Guards against a late message that restores an old incarnation or revision.
        @Property(seed = "51", tries = 300)
        void inAnyOrderLeaveTheHighestRecord(
                @ForAll @Size(min = 1, max = 12) List<@IntRange(max = 47) Integer> codes) {
            MembershipTest test = new MembershipTest();
            Member highest = member("node-b", 1, 1, State.JOINING, Liveness.ALIVE);
            test.receiveRecord(highest);
            for (int c : codes) {
                Member m =
                        member(
                                "node-b",
                                c / 16 + 1,
                                c / 4 % 4 + 1,
                                State.values()[c / 4 % 4],
                                Liveness.values()[c % 4 % 3]);
                highest = Member.compare(m, highest) > 0 ? m : highest;
                test.receiveRecord(m);
            }
            assertThat(test.view("node-b")).isEqualTo(highest);
        }

        // Guards against a node that does not detect a newer process with the same node id.
        @Example
        void aboutANewerProcessWithThisIdAreReportedOnce() {
            receiveRecord(member("node-a", 9, 1, State.SERVING, Liveness.ALIVE));
            receiveRecord(member("node-a", 9, 2, State.SERVING, Liveness.ALIVE));
            assertThat(mSuperseded).containsExactly(9L);
            assertThat(mNode.self().node().incarnation()).isEqualTo(5);
        }

        // Guards against a refutation that does not take precedence over the claim it refutes.
        @Example
        void thatDeclareThisNodeDeadAreRefuted() {
            receiveRecord(member("node-b", 1, 1, State.SERVING, Liveness.ALIVE));
            receiveRecord(member("node-a", 5, 7, State.SERVING, Liveness.DEAD));
            assertThat(mNode.self().revision()).isEqualTo(8);
            mTime.advance(Duration.ofMillis(100));
            mNode.tick();
            assertThat(mSent)
                    .anyMatch(
                            e ->
                                    e.getUpdatesList().stream()
                                            .anyMatch(
                                                    w ->
                                                            w.getNodeId().equals("node-a")
                                                                    && w.getRevision() == 8));
        }

        // Guards against a dead member that is considered alive because a new VM answers at its
        // address.
        @Example
        void fromAnotherNodeAtItsAddressDoNotKeepAMemberAlive() {
            receiveRecord(member("node-b", 1, 1, State.SERVING, Liveness.ALIVE));
            NodeRef other = NodeRef.newBuilder().setNodeId("node-x").setIncarnation(1).build();
            for (int i = 0; i < 30; i++) {
                mSent.clear();
                mTime.advance(Duration.ofMillis(100));
                mNode.tick();
                for (Envelope e : List.copyOf(mSent)) {
                    Ack ack = Ack.newBuilder().setSequence(e.getPing().getSequence()).build();
                    mNode.receive(Envelope.newBuilder().setFrom(other).setAck(ack).build());
                }
            }
            assertThat(view("node-b").liveness()).isEqualTo(Liveness.SUSPECT);
        }

        // Guards against a member table that grows with every VM that ever existed.
        @Example
        void aboutDeadMembersAreEvictedAfter24Hours() {
            receiveRecord(member("node-b", 1, 1, State.SERVING, Liveness.ALIVE));
            receiveRecord(member("node-b", 1, 1, State.SERVING, Liveness.DEAD));
            mTime.advance(Duration.ofHours(23));
            mNode.tick();
            assertThat(view("node-b")).isNotNull();
            mTime.advance(Duration.ofHours(2));
            mNode.tick();
            assertThat(view("node-b")).isNull();
        }
    }
}
