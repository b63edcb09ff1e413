package io.azurestage.core.spread;

import io.azurestage.core.membership.Member;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Choice of the nodes that watch the store: in each data centre, the 3 alive members with the
 * highest rendezvous hash. Nodes with different views may choose different watchers; then a few
 * more nodes watch for a while, which costs a few store calls and does no harm.
 */
public final class Watchers {
    /** Watchers in each data centre. */
    public static final int PER_DATA_CENTRE = 3;

    private Watchers() {}

    /**
     * Chooses the watchers of a data centre.
     *
     * @param members members as {@link io.azurestage.core.membership.Membership#members} returns
     *     them
     * @param dataCentre name of the data centre
     * @return up to 3 members, the first watcher first
     */
    public static List<Member> of(List<Member> members, String dataCentre) {
        return members.stream()
                .filter(m -> m.location().dataCentre().equals(dataCentre))
                .filter(m -> !m.isGone() && m.liveness() == Member.Liveness.ALIVE)
                .sorted(Comparator.comparingLong(Watchers::rank).thenComparing(Member::nodeId))
                .limit(PER_DATA_CENTRE)
                .toList();
    }

    /**
     * Tells whether a node is the one that writes a lost version back to the store: the first
     * watcher of the data centre whose name comes first among those with alive members.
     *
     * @param members members as {@link io.azurestage.core.membership.Membership#members} returns
     *     them
     * @param nodeId id of the node
     * @return true for at most one node in each view of the members
     */
    public static boolean isFirst(List<Member> members, String nodeId) {
        return members.stream()
                .filter(m -> !m.isGone() && m.liveness() == Member.Liveness.ALIVE)
                .map(m -> m.location().dataCentre())
                .min(Comparator.naturalOrder())
                .flatMap(dataCentre -> of(members, dataCentre).stream().findFirst())
                .filter(m -> m.nodeId().equals(nodeId))
                .isPresent();
    }

    private static long rank(Member m) {
        CRC32C crc = new CRC32C();
        crc.update(m.location().dataCentre().getBytes(StandardCharsets.UTF_8));
        crc.update(0);
        crc.update(m.nodeId().getBytes(StandardCharsets.UTF_8));
        return -(crc.getValue() * 0x9e3779b97f4a7c15L >>> 1);
    }
}
