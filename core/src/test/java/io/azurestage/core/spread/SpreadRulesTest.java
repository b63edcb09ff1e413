package io.azurestage.core.spread;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.membership.Member;
import io.azurestage.core.membership.Member.Liveness;
import io.azurestage.core.membership.Member.State;
import io.azurestage.core.spread.ReadinessRule.Facts;
import io.azurestage.core.spread.ReadinessRule.NotReady;
import io.azurestage.core.spread.ReadinessRule.Ready;
import io.azurestage.wire.generated.ConfigRecordWire;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.Deflater;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class SpreadRulesTest {
    private static final ConfigRecord LOW = VirtualMesh.record(4, "z", 1);
    private static final ConfigRecord HIGH = VirtualMesh.record(5, "a", 1);
    private static final ConfigRecord HIGHER_ID = VirtualMesh.record(5, "b", 1);

    @Group
    class StoreVersions {
        // Guards against a revert of the configuration when the store has lost writes, and against
        // a missing write-back.
        @Example
        void areAdoptedOnlyIfHigher() {
            assertThat(view(LOW, HIGH)).isEqualTo(new StoreView.Adopt(HIGH));
            assertThat(view(HIGH, HIGHER_ID)).isEqualTo(new StoreView.Adopt(HIGHER_ID));
            assertThat(view(null, LOW)).isEqualTo(new StoreView.Adopt(LOW));
            assertThat(view(HIGH, HIGH)).isEqualTo(new StoreView.InForce());
            assertThat(view(null, null)).isEqualTo(new StoreView.InForce());
            assertThat(view(HIGH, LOW)).isEqualTo(new StoreView.Behind(HIGH, true));
            assertThat(view(HIGH, null)).isEqualTo(new StoreView.Behind(HIGH, true));
            assertThat(StoreView.of(Optional.of(HIGH), Optional.of(LOW), false))
                    .isEqualTo(new StoreView.Behind(HIGH, false));
        }

        private static StoreView view(ConfigRecord inForce, ConfigRecord stored) {
            return StoreView.of(Optional.ofNullable(inForce), Optional.ofNullable(stored), true);
        }
    }

    @Group
    class StartingNode {
        // Guards against a node that serves with an old configuration, or with none, after its
        // start.
        @Example
        void isReadyOnlyWithTheConfigurationInForce() {
            assertThat(readiness(true, true, false, 0, 0)).isInstanceOf(Ready.class);
            assertThat(readiness(true, false, false, 0, 0)).isInstanceOf(NotReady.class);
            assertThat(readiness(true, true, true, 0, 0)).isInstanceOf(NotReady.class);
            assertThat(readiness(false, true, false, 3, 9)).isInstanceOf(Ready.class);
            assertThat(readiness(false, true, false, 2, 9)).isInstanceOf(NotReady.class);
            assertThat(readiness(false, true, false, 2, 2)).isInstanceOf(Ready.class);
            assertThat(readiness(false, true, false, 0, 0)).isInstanceOf(NotReady.class);
        }

        private static ReadinessRule readiness(
                boolean storeRead, boolean hasConfig, boolean behind, int synced, int known) {
            return ReadinessRule.of(new Facts(storeRead, hasConfig, behind, synced, known));
        }
    }

    @Group
    class SelectedWatchers {
        // Guards against watchers that are dead or in another data centre, and against replacing
        // more watchers than the one that died.
        @Property(seed = "71", tries = 100)
        void areAliveAndOnlyTheDeadOneIsReplaced(
                @ForAll @IntRange(min = 1, max = 40) int n,
                @ForAll @IntRange(max = 39) int deadIndex) {
            List<Member> all = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                all.add(member(i, Liveness.ALIVE));
            }
            List<Member> before = Watchers.of(all, "dc-0");
            int index = deadIndex % n;
            Member dead = member(index, Liveness.DEAD);
            all.set(index, dead);
            List<Member> after = Watchers.of(all, "dc-0");
            assertThat(after).allMatch(m -> m.location().dataCentre().equals("dc-0"));
            assertThat(after).hasSize(Math.min(3, all.stream().mapToInt(this::isCandidate).sum()));
            before.stream()
                    .filter(m -> !m.nodeId().equals(dead.nodeId()))
                    .forEach(m -> assertThat(after).contains(m));
            assertThat(Watchers.place(all, dead.nodeId())).isEmpty();
            if (!after.isEmpty()) {
                assertThat(Watchers.place(all, after.get(0).nodeId())).hasValue(0);
            }
        }

        private int isCandidate(Member m) {
            return !m.isGone() && m.location().dataCentre().equals("dc-0") ? 1 : 0;
        }

        private static Member member(int i, Liveness liveness) {
            return new Member(
                    new NodeIdentity("node-" + i, 1),
                    1,
                    "bookings",
                    new Member.Addresses("10.0.0.1:1", VirtualMesh.address(i), "10.0.0.1:2"),
                    new Member.Location("dc-" + i % 3, "region-0"),
                    State.SERVING,
                    liveness,
                    10,
                    0);
        }
    }

    @Group
    class RecordEncoding {
        // Guards against a small message that exhausts the memory when decompressed.
        @Example
        void rejectsTooLongDocumentsInBothDirections() {
            ConfigRecord r = VirtualMesh.record(1, "c", ConfigRecord.MAX_DOCUMENT_BYTES);
            assertThat(RecordCodec.fromWire(RecordCodec.toWire(r))).contains(r);
            assertThatThrownBy(() -> RecordCodec.toWire(VirtualMesh.record(1, "c", 1_048_577)))
                    .isInstanceOf(IllegalArgumentException.class);
            assertThat(RecordCodec.fromWire(decompressionBomb())).isEmpty();
        }

        private static ConfigRecordWire decompressionBomb() {
            var deflater = new Deflater();
            deflater.setInput(new byte[ConfigRecord.MAX_DOCUMENT_BYTES + 1]);
            deflater.finish();
            byte[] out = new byte[10_000];
            int n = deflater.deflate(out);
            deflater.end();
            return ConfigRecordWire.newBuilder()
                    .setNumber(1)
                    .setChangeId("c")
                    .setDocument(ByteString.copyFrom(out, 0, n))
                    .build();
        }
    }
}
