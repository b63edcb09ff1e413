package io.azurestage.core.spread;

import io.azurestage.core.membership.Member;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;
import java.util.zip.CRC32C;

/**
 * Selects the nodes that watch the store: in each data centre, the 3 alive members with the highest
 * rendezvous hash. Nodes with different membership views may select different watchers; a few more
 * nodes then watch for a while, which is harmless and costs a few store calls.
 */
public final class Watchers {
    /** Number of watchers per data centre. */
    public static final int PER_DATA_CENTRE = 3;

    private Watchers() {}

    /**
     * Selects the watchers of a data centre.
     *
     * @param members members as {@link io.azurestage.core.membership.Membership#members} returns
     *     them
     * @param dataCentre name of the data centre
     * @return up to 3 members in order of their hash, the first watcher first
     */
    public static List<Member> of(List<Member> members, String dataCentre) {
        return members.stream()
                .filter(m -> m.location().dataCentre().equals(dataCentre))
                .filter(m -> !m.isGone() && m.liveness() == Member.Liveness.ALIVE)
                .sorted(
                        Comparator.comparingLong(Watchers::rendezvousRank)
                                .thenComparing(Member::nodeId))
                .limit(PER_DATA_CENTRE)
                .toList();
    }

    /**
     * Returns the position of a node among the watchers of its data centre. The watcher at position
     * 0 writes back versions that the store has lost. There is one in each data centre, so that a
     * store that only some data centres can reach is repaired too; compare-and-swap ensures that
     * only one of the writes succeeds.
     *
     * @param members members as {@link io.azurestage.core.membership.Membership#members} returns
     *     them
     * @param nodeId id of the node
     * @return 0 to 2 for a watcher, empty for other nodes
     */
    public static OptionalInt place(List<Member> members, String nodeId) {
        List<String> ids =
                members.stream()
                        .filter(m -> m.nodeId().equals(nodeId))
                        .findFirst()
                        .map(m -> of(members, m.location().dataCentre()))
                        .orElse(List.of())
                        .stream()
                        .map(Member::nodeId)
                        .toList();
        int place = ids.indexOf(nodeId);
        return place < 0 ? OptionalInt.empty() : OptionalInt.of(place);
    }

    private static long rendezvousRank(Member m) {
        CRC32C crc = new CRC32C();
        crc.update(m.location().dataCentre().getBytes(StandardCharsets.UTF_8));
        crc.update(0);
        crc.update(m.nodeId().getBytes(StandardCharsets.UTF_8));
        return -(crc.getValue() * 0x9e3779b97f4a7c15L >>> 1);
    }
}
