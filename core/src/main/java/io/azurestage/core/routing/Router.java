package io.azurestage.core.routing;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.time.TimeSource;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Chooses a backend server for each attempt. Thread-safe; {@link #pick} takes no lock.
 *
 * <p>In each locality tier, two random servers are compared, mostly by this node's own in-flight
 * requests and to a bounded extent by the load that the servers report. A server in a farther tier
 * is chosen if the expected wait at the nearer one exceeds the cost of crossing.
 */
public final class Router {
    private record Table(Map<String, ServiceState> services, Map<NodeIdentity, Server> servers) {}

    private final RoutingSettings mSettings;
    private final EjectionListener mListener;
    private final TimeSource mTime;
    private final RandomGenerator mRandom;
    private final Tiers mTiers;
    private final Incarnations mIncarnations = new Incarnations();
    private final long mStart;
    private volatile Table mTable = new Table(Map.of(), Map.of());

    /**
     * Creates a router with default settings and no backend servers.
     *
     * @param dataCentre data centre of this node
     * @param region region of this node
     * @param time source of time
     * @param random source of random choices, thread-safe if the router is shared by threads
     */
    public Router(String dataCentre, String region, TimeSource time, RandomGenerator random) {
        this(dataCentre, region, RoutingSettings.defaults(), EjectionListener.NONE, time, random);
    }

    /**
     * Creates a router with no backend servers.
     *
     * @param dataCentre data centre of this node
     * @param region region of this node
     * @param settings crossing costs and warm-up time
     * @param listener receives ejections and restorations
     * @param time source of time
     * @param random source of random choices, thread-safe if the router is shared by threads
     */
    public Router(
            String dataCentre,
            String region,
            RoutingSettings settings,
            EjectionListener listener,
            TimeSource time,
            RandomGenerator random) {
        mSettings = settings;
        mListener = listener;
        mTime = time;
        mRandom = random;
        mTiers = new Tiers(dataCentre, region, settings);
        mStart = time.nanos();
    }

    /**
     * Replaces the set of backend servers. Statistics of servers that remain are kept. Of several
     * incarnations of one node id, only the newest one ever seen is used.
     *
     * @param endpoints all backend servers that are alive
     */
    public synchronized void update(List<Endpoint> endpoints) {
        long now = now();
        Instant wallClock = mTime.now();
        mIncarnations.update(endpoints, now);
        Map<NodeIdentity, Server> servers = new HashMap<>();
        for (Endpoint e : endpoints) {
            if (mIncarnations.isNewest(e)) {
                servers.put(e.node(), server(e, wallClock, now));
            }
        }
        Map<String, List<Server>> grouped = new HashMap<>();
        for (Server s : servers.values()) {
            grouped.computeIfAbsent(s.mEndpoint.service(), k -> new ArrayList<>()).add(s);
        }
        Map<String, ServiceState> services = new HashMap<>();
        grouped.forEach((name, list) -> services.put(name, service(name)));
        grouped.forEach((name, list) -> services.get(name).update(list, now));
        mTable = new Table(services, servers);
    }

    /**
     * Chooses a backend server. Ejected servers are chosen only if no other server is eligible.
     *
     * @param service service to call
     * @param exclude incarnations that this request must not be sent to again
     * @return the chosen server, or empty if none is eligible
     */
    public Optional<Pick> pick(String service, Set<NodeIdentity> exclude) {
        ServiceState s = mTable.services.get(service);
        if (s == null) {
            return Optional.empty();
        }
        // Drawing only once per pick from the shared source limits contention between threads.
        SplittableRandom random = new SplittableRandom(mRandom.nextLong());
        return s.choose(exclude, random, now()).map(x -> new ServerPick(x, s, this::now));
    }

    /**
     * Finds the backend server of one incarnation, for a request whose ticket names it.
     *
     * @param node the incarnation
     * @return the backend server, even if it is draining or ejected, or empty if it is not alive or
     *     a newer incarnation is known
     */
    public Optional<Pick> find(NodeIdentity node) {
        Table t = mTable;
        Server s = t.servers.get(node);
        return s == null
                ? Optional.empty()
                : Optional.of(new ServerPick(s, t.services.get(s.mEndpoint.service()), this::now));
    }

    /**
     * Tells whether a service has any backend server.
     *
     * @param service name of the service
     * @return true if at least one server is alive, even if it is draining
     */
    public boolean hasServers(String service) {
        return mTable.services.containsKey(service);
    }

    private Server server(Endpoint e, Instant wallClock, long now) {
        Server known = mTable.servers.get(e.node());
        if (known == null || !known.mEndpoint.service().equals(e.service())) {
            Duration age = Duration.between(Instant.ofEpochMilli(e.startedAtMillis()), wallClock);
            return new Server(e, age, mSettings.warmUp(), now);
        }
        known.mEndpoint = e;
        return known;
    }

    private ServiceState service(String name) {
        ServiceState known = mTable.services.get(name);
        return known != null ? known : new ServiceState(mTiers, mListener);
    }

    private long now() {
        return mTime.nanos() - mStart;
    }
}
