package io.azurestage.relay.fleet;

import io.azurestage.core.backend.BackendState;
import io.azurestage.core.backend.EntryTable;
import io.azurestage.core.backend.ServerEntry;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.core.routing.Endpoint;
import io.azurestage.core.routing.Pick;
import io.azurestage.core.routing.Router;
import io.azurestage.relay.call.CallTarget;
import io.azurestage.relay.entry.Placement;
import io.azurestage.relay.link.LinkClient;
import io.azurestage.store.Versioned;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * All nodes with their backend servers, as the store shows them, and the links to them. Used on the
 * event loop only.
 */
public final class FleetDirectory implements Placement, PrefixFeed.Listener {
    /** Endpoints have a new id for each incarnation. */
    private static final long ONLY_INCARNATION = 0;

    private final EntryTable mTable;
    private final Router mRouter;
    private final Function<String, LinkClient> mNewLink;
    private final String mOwnKey;
    private final String mOwnLink;
    private final CallTarget mOwnTarget;
    private final Runnable mOwnMissing;
    private final EventLog mEvents;
    private final Map<String, LinkClient> mLinks = new HashMap<>();
    private Map<String, Integer> mNodesByService = Map.of();
    private boolean mChanged;

    /**
     * Creates an empty directory.
     *
     * @param table holds the entries
     * @param router chooses among them
     * @param newLink opens a link to an address
     * @param ownKey key of this node's entry
     * @param ownLink address of this node's link port
     * @param ownTarget takes calls for this node's backend server
     * @param ownMissing hears that the store no longer shows this node's entry
     * @param events log of events
     */
    public FleetDirectory(
            EntryTable table,
            Router router,
            Function<String, LinkClient> newLink,
            String ownKey,
            String ownLink,
            CallTarget ownTarget,
            Runnable ownMissing,
            EventLog events) {
        mTable = table;
        mRouter = router;
        mNewLink = newLink;
        mOwnKey = ownKey;
        mOwnLink = ownLink;
        mOwnTarget = ownTarget;
        mOwnMissing = ownMissing;
        mEvents = events;
    }

    @Override
    public Optional<Place> choose(String service, Set<NodeIdentity> exclude) {
        refresh();
        Optional<Pick> pick = mRouter.pick(service, exclude);
        return pick.map(p -> new Place(p, target(p.endpoint().address())));
    }

    private CallTarget target(String address) {
        return address.equals(mOwnLink)
                ? mOwnTarget
                : mLinks.computeIfAbsent(address, mNewLink::apply);
    }

    @Override
    public void listed(List<Versioned> values) {
        Set<String> keys = new HashSet<>();
        for (Versioned v : values) {
            keys.add(v.key());
            take(v);
        }
        mTable.listed(keys);
        if (!keys.contains(mOwnKey)) {
            mOwnMissing.run();
        }
        mChanged = true;
    }

    @Override
    public void put(Versioned value) {
        take(value);
        mChanged = true;
    }

    @Override
    public void removed(String key) {
        mTable.lapse(key);
        if (key.equals(mOwnKey)) {
            mOwnMissing.run();
        }
        mChanged = true;
    }

    /** Drops entries that have stayed away, and closes links that lead nowhere. */
    public void tick() {
        for (ServerEntry e : mTable.expire(this::answers)) {
            mEvents.record(
                    EventType.MEMBER_DEAD,
                    Map.of("node", e.node().nodeId(), "server", e.server().serverId()));
            mChanged = true;
        }
        refresh();
        // A call that ends here may be placed anew, which may open a link.
        List.copyOf(mLinks.values()).forEach(LinkClient::tick);
    }

    /**
     * Returns how many nodes are known.
     *
     * @return a count, this node included once it has announced itself
     */
    public int nodes() {
        return mTable.entries().size();
    }

    /**
     * Returns how many nodes stand beside a server of each service.
     *
     * @return an immutable map
     */
    public Map<String, Integer> nodesByService() {
        refresh();
        return mNodesByService;
    }

    private boolean answers(ServerEntry e) {
        if (e.linkAddress().equals(mOwnLink)) {
            return true;
        }
        LinkClient link = mLinks.get(e.linkAddress());
        return link != null && link.isUp();
    }

    private void take(Versioned v) {
        try {
            mTable.put(v.key(), EntryCodec.decode(v.value()));
        } catch (IOException e) {
            mEvents.record(
                    EventType.ENTRY_UNREADABLE,
                    Map.of("key", v.key(), "reason", "" + e.getMessage()));
            mTable.lapse(v.key());
        }
    }

    /** Changes often come many at a time, and only the last state of all of them is needed. */
    private void refresh() {
        if (mChanged) {
            mChanged = false;
            update();
        }
    }

    private void update() {
        List<ServerEntry> entries = mTable.entries();
        Map<String, Integer> nodes = new HashMap<>();
        entries.forEach(e -> nodes.merge(e.server().service(), 1, Integer::sum));
        mNodesByService = Map.copyOf(nodes);
        mRouter.update(
                entries.stream()
                        .filter(e -> e.server().state() != BackendState.GONE)
                        .map(FleetDirectory::endpoint)
                        .toList());
        Set<String> addresses = new HashSet<>();
        entries.forEach(e -> addresses.add(e.linkAddress()));
        mLinks.entrySet()
                .removeIf(
                        e -> {
                            boolean unused =
                                    !addresses.contains(e.getKey()) && e.getValue().calls() == 0;
                            if (unused) {
                                e.getValue().close();
                            }
                            return unused;
                        });
    }

    /**
     * A server that replaces another one beside the same node is a new endpoint, and so is a node
     * that has restarted. The store holds one entry a node, so which of two is newer needs no
     * comparison of their numbers, which are times of day.
     */
    private static Endpoint endpoint(ServerEntry e) {
        String id =
                e.node().nodeId()
                        + "/"
                        + e.node().incarnation()
                        + "/"
                        + e.server().serverId()
                        + "/"
                        + e.server().startedAtMillis();
        boolean ready = e.server().state() == BackendState.READY;
        return new Endpoint(
                new NodeIdentity(id, ONLY_INCARNATION),
                e.server().service(),
                e.linkAddress(),
                e.dataCentre(),
                e.region(),
                e.server().slots(),
                ready ? Endpoint.State.SERVING : Endpoint.State.DRAINING,
                e.server().startedAtMillis());
    }
}
