package io.azurestage.node;

import io.azurestage.config.MeshConfig;
import io.azurestage.core.admission.AdmissionController;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.context.Signer;
import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.core.once.OnceRegistry;
import io.azurestage.core.routing.Endpoint;
import io.azurestage.core.routing.Router;
import io.azurestage.core.time.HybridClock;
import io.azurestage.core.time.TimeSource;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.client.HttpClient;

/** One running node. */
public final class Node implements AutoCloseable {
    private static final int INCARNATION_RANDOM_BITS = 12;
    private static final long ONCE_BYTES = 64L << 20;
    private static final long SWEEP_MILLIS = 1_000;

    private final Shared mShared;
    private final AdmissionDuty mAdmission;
    private final Owner mOwner;
    private final HttpClient mToNodes;
    private final HttpClient mToBackend;
    private final HttpServers mServers;
    private final Flights mFlights;
    private final ScheduledExecutorService mTimer;

    private Node(NodeSettings s, TimeSource time) {
        long start = time.now().toEpochMilli();
        NodeIdentity self =
                new NodeIdentity(
                        s.nodeId(),
                        start << INCARNATION_RANDOM_BITS
                                | ThreadLocalRandom.current()
                                        .nextInt(1 << INCARNATION_RANDOM_BITS));
        HybridClock clock = new HybridClock(time);
        EventLog events = new EventLog(s.nodeId(), clock, s.eventCapacity(), e -> {});
        Router router = new Router(s.dataCentre(), s.region(), time, RandomGenerator.getDefault());
        Signer signer = new Signer(HexFormat.of().parseHex(s.meshKey()));
        mShared = new Shared(s, self, time, clock, signer, router, events, new NodeMetrics());
        mFlights = new Flights(mShared.metrics());
        mTimer = Executors.newSingleThreadScheduledExecutor(Node::timerThread);
        mAdmission = new AdmissionDuty(new AdmissionController(s.slots(), time), s.slots());
        mToNodes = HttpClients.toNodes(s);
        mToBackend = HttpClients.toBackend(s);
        OnceRegistry once = new OnceRegistry(self, s.maxTickets(), ONCE_BYTES, time);
        mOwner = new Owner(mShared, mAdmission, once, mToBackend);
        Forwarder forwarder =
                new Forwarder(
                        mShared,
                        mToNodes,
                        (d, task) -> mTimer.schedule(task, d.toNanos(), TimeUnit.NANOSECONDS));
        mServers =
                new HttpServers(
                        s,
                        new IngressHandler(
                                mShared,
                                new Entry(mShared, forwarder, mFlights),
                                new Hop(mShared, mOwner, mFlights),
                                new Tickets(mShared)),
                        new EgressHandler(mShared, forwarder, mFlights));
    }

    /**
     * Starts a node.
     *
     * @param settings checked settings
     * @return the running node
     * @throws NodeStartException if a port cannot be opened
     */
    public static Node start(NodeSettings settings) throws NodeStartException {
        Node node = new Node(settings, TimeSource.system());
        try {
            node.open();
            return node;
        } catch (NodeStartException e) {
            node.close();
            throw e;
        }
    }

    private void open() throws NodeStartException {
        mAdmission.start();
        HttpClients.start(mToNodes);
        HttpClients.start(mToBackend);
        mServers.start();
        mTimer.scheduleWithFixedDelay(
                () -> mShared.progress().expire(mShared.time().nanos()),
                SWEEP_MILLIS,
                SWEEP_MILLIS,
                TimeUnit.MILLISECONDS);
        mShared.events().record(EventType.NODE_STARTED, Map.of("ingress", ingress().toString()));
    }

    /**
     * Returns this node's identity.
     *
     * @return node id and incarnation
     */
    public NodeIdentity identity() {
        return mShared.self();
    }

    /**
     * Returns the address where callers and other nodes connect.
     *
     * @return the address with the real port
     */
    public HostPort ingress() {
        return mServers.ingress();
    }

    /**
     * Returns the address where the backend server connects.
     *
     * @return the address with the real port
     */
    public HostPort egress() {
        return mServers.egress();
    }

    /**
     * Puts a configuration in force.
     *
     * @param config the configuration
     */
    public void apply(MeshConfig config) {
        mShared.config(config);
        mOwner.configure(config);
        if (mShared.lifecycle() == Lifecycle.JOINING) {
            mShared.lifecycle(Lifecycle.SERVING);
            mShared.events().record(EventType.NODE_READY, Map.of());
        }
    }

    /**
     * Replaces the known backend servers.
     *
     * @param endpoints all that are alive
     */
    public void endpoints(List<Endpoint> endpoints) {
        mShared.router().update(endpoints);
    }

    /** Ends the node at once. Use {@link #drain} before, so that no request is cut off. */
    @Override
    public void close() {
        mServers.stop();
        HttpClients.stop(mToNodes);
        HttpClients.stop(mToBackend);
        mAdmission.close();
        mTimer.shutdownNow();
    }

    private static Thread timerThread(Runnable r) {
        Thread t = new Thread(r, "timer");
        t.setDaemon(true);
        return t;
    }
}
