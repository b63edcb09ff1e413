package io.azurestage.relay.fleet;

import io.azurestage.core.backend.BackendServer;
import io.azurestage.core.backend.BackendState;
import io.azurestage.core.backend.ServerEntry;
import io.azurestage.core.backend.ServerEntryTable;
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
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Tracks all nodes and their backend servers from the entries in the store, and holds the links to
 * the nodes. Not thread-safe; use it on the event loop only.
 */
public final class FleetDirectory implements Placement, PrefixFeed.Listener {
    /** Constant, because the id of an endpoint already contains the incarnations. */
    private static final long FIXED_INCARNATION = 0;

    /** How often a node is notified that its server has left, until its entry states it. */
    private static final int TICKS_PER_REMINDER = 3;

    private final ServerEntryTable mTable;
    private final Router mRouter;
    private final Function<String, LinkClient> mLinkFactory;
    private final String mOwnKey;
    private final String mOwnLinkAddress;
    private final CallTarget mOwnTarget;
    private final Runnable mOnOwnEntryMissing;
    private final EventLog mEvents;
    private final Map<String, LinkClient> mLinks = new HashMap<>();
    private final RememberedLeaves mLeaves = new RememberedLeaves();

    /** Servers that have left and are named as ready, by the link address of their node. */
    private final Map<String, BackendServer> mWronglyUsed = new HashMap<>();

    private Map<String, Integer> mNodesByService = Map.of();
    private Consumer<Set<String>> mNodesListener = nodes -> {};
    private boolean mStale;
    private long mTicks;

    /**
     * Creates an empty directory.
     *
     * @param table holds the entries
     * @param router chooses an endpoint for each call
     * @param linkFactory creates a link to a node's link address
     * @param ownKey store key of this node's entry
     * @param ownLinkAddress address of this node's link port
     * @param ownTarget executes calls on this node's backend server
     * @param onOwnEntryMissing called when the store does not contain this node's entry
     * @param events event log
     */
    public FleetDirectory(
            ServerEntryTable table,
            Router router,
            Function<String, LinkClient> linkFactory,
            String ownKey,
            String ownLinkAddress,
            CallTarget ownTarget,
            Runnable onOwnEntryMissing,
            EventLog events) {
        mTable = table;
        mRouter = router;
        mLinkFactory = linkFactory;
        mOwnKey = ownKey;
        mOwnLinkAddress = ownLinkAddress;
        mOwnTarget = ownTarget;
        mOnOwnEntryMissing = onOwnEntryMissing;
        mEvents = events;
    }

    @Override
    public Optional<Place> choose(String service, Set<NodeIdentity> exclude) {
        rebuildIfStale();
        Optional<Pick> pick = mRouter.pick(service, exclude);
        return pick.map(p -> new Place(p, target(p.endpoint().address())));
    }

    private CallTarget target(String address) {
        return address.equals(mOwnLinkAddress) ? mOwnTarget : link(address);
    }

    /**
     * Returns the link to another node. It connects when it is first used.
     *
     * @param address link address of the node
     * @return the link
     */
    public LinkClient link(String address) {
        return mLinks.computeIfAbsent(address, mLinkFactory);
    }

    /**
     * Sets a listener for changes of the known nodes.
     *
     * @param listener called with the link addresses of all nodes that are not about to leave
     */
    public void onNodesChanged(Consumer<Set<String>> listener) {
        mNodesListener = listener;
    }

    @Override
    public void listed(List<Versioned> values) {
        Set<String> keys = new HashSet<>();
        for (Versioned v : values) {
            keys.add(v.key());
            putEntry(v);
        }
        mTable.onFullListing(keys);
        if (!keys.contains(mOwnKey)) {
            mOnOwnEntryMissing.run();
        }
        mStale = true;
    }

    @Override
    public void put(Versioned value) {
        putEntry(value);
        mStale = true;
    }

    @Override
    public void removed(String key) {
        mTable.markMissing(key);
        if (key.equals(mOwnKey)) {
            mOnOwnEntryMissing.run();
        }
        mStale = true;
    }

    /**
     * Removes entries that have expired, closes unused links, and runs the timers of the links.
     * Call it every 100 ms.
     */
    public void tick() {
        for (ServerEntry e : mTable.removeExpired(this::isReachable)) {
            mEvents.record(
                    EventType.MEMBER_DEAD,
                    Map.of("node", e.node().nodeId(), "server", e.server().serverId()));
            mStale = true;
        }
        rebuildIfStale();
        if (++mTicks % TICKS_PER_REMINDER == 0) {
            mWronglyUsed.forEach(
                    (address, s) ->
                            link(address).sendServerLeft(s.serverId(), s.startedAtMillis()));
        }
        // A call that fails here may be retried on another node, which may add a link to the map.
        List.copyOf(mLinks.values()).forEach(LinkClient::tick);
    }

    /**
     * Returns the number of known nodes.
     *
     * @return a count that includes this node once its entry is in the store
     */
    public int nodes() {
        return mTable.entries().size();
    }

    /**
     * Returns the number of nodes per service, by the service of a node's backend server.
     *
     * @return an immutable map from service name to count
     */
    public Map<String, Integer> nodesByService() {
        rebuildIfStale();
        return mNodesByService;
    }

    private boolean isReachable(ServerEntry e) {
        if (e.linkAddress().equals(mOwnLinkAddress)) {
            return true;
        }
        LinkClient link = mLinks.get(e.linkAddress());
        return link != null && link.isUp();
    }

    private void putEntry(Versioned v) {
        try {
            putEntry(v.key(), EntryCodec.decode(v.value()));
        } catch (IOException e) {
            mEvents.record(
                    EventType.ENTRY_UNREADABLE,
                    Map.of("key", v.key(), "reason", "" + e.getMessage()));
            mTable.markMissing(v.key());
        }
    }

    private void putEntry(String key, ServerEntry entry) {
        mLeaves.add(key, entry);
        OptionalLong left = mLeaves.contradicted(key, entry.server());
        if (left.isEmpty()) {
            mWronglyUsed.remove(entry.linkAddress());
            mTable.put(key, entry);
            return;
        }
        mEvents.record(
                EventType.LEAVE_REMEMBERED,
                Map.of(
                        "node", entry.node().nodeId(),
                        "server", entry.server().serverId(),
                        "startedAtMillis", Long.toString(left.getAsLong())));
        if (!key.equals(mOwnKey)) {
            mWronglyUsed.put(entry.linkAddress(), entry.server());
        }
        mTable.put(key, entry.withServerState(BackendState.GONE));
    }

    /** Changes often arrive in batches; rebuilding on demand processes only the final state. */
    private void rebuildIfStale() {
        if (mStale) {
            mStale = false;
            rebuild();
        }
    }

    private void rebuild() {
        List<ServerEntry> entries = mTable.entries();
        Map<String, Integer> counts = new HashMap<>();
        entries.forEach(e -> counts.merge(e.server().service(), 1, Integer::sum));
        mNodesByService = Map.copyOf(counts);
        mRouter.update(
                entries.stream()
                        .filter(e -> e.server().state() != BackendState.GONE)
                        .map(FleetDirectory::endpoint)
                        .toList());
        Set<String> addresses = new HashSet<>();
        Set<String> staying = new HashSet<>();
        for (ServerEntry e : entries) {
            addresses.add(e.linkAddress());
            if (e.server().state() == BackendState.READY) {
                staying.add(e.linkAddress());
            }
        }
        mNodesListener.accept(staying);
        mWronglyUsed.keySet().retainAll(addresses);
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
     * A backend server that replaces another one at the same node is a new endpoint, and so is a
     * restarted node. The store holds a single entry per node, so the newer of two needs no
     * comparison of incarnation numbers, which are wall-clock times and may go backwards.
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
                new NodeIdentity(id, FIXED_INCARNATION),
                e.server().service(),
                e.linkAddress(),
                e.dataCentre(),
                e.region(),
                e.server().slots(),
                ready ? Endpoint.State.SERVING : Endpoint.State.DRAINING,
                e.server().startedAtMillis());
    }
}
