package io.azurestage.core.membership;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.membership.Member.Addresses;
import io.azurestage.core.membership.Member.Liveness;
import io.azurestage.core.membership.Member.Location;
import io.azurestage.core.membership.Member.State;
import io.azurestage.wire.generated.MemberWire;

/**
 * Converts members to and from the wire format. A full record contains all fields; a short one
 * contains only those that change within an incarnation and takes a third of the bytes.
 */
final class MemberCodec {
    private MemberCodec() {}

    static MemberWire toShort(Member m) {
        return base(m).build();
    }

    static MemberWire toFull(Member m) {
        return base(m).setService(m.service())
                .setIngressAddress(m.addresses().ingress())
                .setControlAddress(m.addresses().control())
                .setAdminAddress(m.addresses().admin())
                .setDataCentre(m.location().dataCentre())
                .setRegion(m.location().region())
                .setSlots(m.slots())
                .setStartedAtMillis(m.startedAtMillis())
                .build();
    }

    static boolean isValid(MemberWire w) {
        return !w.getNodeId().isEmpty()
                && w.getRevision() > 0
                && state(w) != null
                && liveness(w) != null;
    }

    static boolean isFull(MemberWire w) {
        return !w.getControlAddress().isEmpty();
    }

    static Member toMember(MemberWire w) {
        return new Member(
                new NodeIdentity(w.getNodeId(), w.getIncarnation()),
                w.getRevision(),
                w.getService(),
                new Addresses(w.getIngressAddress(), w.getControlAddress(), w.getAdminAddress()),
                new Location(w.getDataCentre(), w.getRegion()),
                state(w),
                liveness(w),
                w.getSlots(),
                w.getStartedAtMillis());
    }

    static State state(MemberWire w) {
        return switch (w.getState()) {
            case JOINING -> State.JOINING;
            case WARMING -> State.WARMING;
            case SERVING -> State.SERVING;
            case DRAINING -> State.DRAINING;
            case LEFT -> State.LEFT;
            default -> null;
        };
    }

    static Liveness liveness(MemberWire w) {
        return switch (w.getLiveness()) {
            case ALIVE -> Liveness.ALIVE;
            case SUSPECT -> Liveness.SUSPECT;
            case DEAD -> Liveness.DEAD;
            default -> null;
        };
    }

    private static MemberWire.Builder base(Member m) {
        return MemberWire.newBuilder()
                .setNodeId(m.nodeId())
                .setIncarnation(m.node().incarnation())
                .setRevision(m.revision())
                .setState(MemberWire.State.forNumber(m.state().ordinal() + 1))
                .setLiveness(MemberWire.Liveness.forNumber(m.liveness().ordinal() + 1));
    }
}
