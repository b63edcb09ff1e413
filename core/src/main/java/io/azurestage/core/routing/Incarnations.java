package io.azurestage.core.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Tracks the newest incarnation of every node id, so that an older one is never used again. */
final class Incarnations {
    /** Membership drops dead members after 24 h, so no older incarnation is announced later. */
    private static final long RETENTION_NANOS = Duration.ofHours(24).toNanos();

    private record Newest(long incarnation, long seenAtNanos) {}

    private final Map<String, Newest> mNewest = new HashMap<>();

    void update(List<Endpoint> endpoints, long now) {
        for (Endpoint e : endpoints) {
            mNewest.merge(
                    e.node().nodeId(),
                    new Newest(e.node().incarnation(), now),
                    (a, b) -> new Newest(Math.max(a.incarnation, b.incarnation), now));
        }
        mNewest.values().removeIf(n -> now - n.seenAtNanos > RETENTION_NANOS);
    }

    boolean isNewest(Endpoint e) {
        return mNewest.get(e.node().nodeId()).incarnation == e.node().incarnation();
    }
}
