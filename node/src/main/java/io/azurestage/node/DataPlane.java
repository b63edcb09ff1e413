package io.azurestage.node;

import io.azurestage.config.MeshConfig;
import io.azurestage.core.admission.AdmissionController;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.context.Signer;
import io.azurestage.core.event.Event;
import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.core.membership.Member;
import io.azurestage.core.once.OnceRegistry;
import io.azurestage.core.routing.Endpoint;
import io.azurestage.core.routing.Router;
import io.azurestage.core.routing.RoutingSettings;
import io.azurestage.core.time.HybridClock;
import io.azurestage.core.time.TimeSource;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.client.HttpClient;

/** The part of a node that carries calls. */
final class DataPlane implements AutoCloseable {
    private static final long ONCE_BYTES = 64L << 20;
    private static final long SWEEP_MILLIS = 1_000;

    private final Shared mShared;
    private final AdmissionLoop mAdmission;
    private final Owner mOwner;
    private final HttpClient mToNodes;
    private final HttpClient mToBackend;
    private final HttpServers mServers;
    private final Flights mFlights;
    private final ScheduledExecutorService mTimer;

    private DataPlane(NodeSettings s, TimeSource time, Consumer<Event> eventSink) {
        NodeIdentity self =
                new NodeIdentity(
                        s.nodeId(), Member.newIncarnation(time, ThreadLocalRandom.current()));
        HybridClock clock = new HybridClock(time);
        EventLog events = new EventLog(s.nodeId(), clock, s.eventCapacity(), eventSink);
        RoutingSettings routing =
                new RoutingSettings(
                        RoutingSettings.defaults().sameRegionCost(),
                        RoutingSettings.defaults().otherRegionCost(),
                        Duration.ofMillis(s.warmUpMillis()));
        // Many threads pick at once; the generators of the platform are not thread-safe.
        RandomGenerator random = () -> ThreadLocalRandom.current().nextLong();
        Router router =
                new Router(
                        s.dataCentre(),
                        s.region(),
                        routing,
                        new EjectionEventRecorder(events),
                        time,
                        random);
        Signer signer = new Signer(HexFormat.of().parseHex(s.meshKey()));
        mShared = new Shared(s, self, time, clock, signer, router, events, new NodeMetrics());
        mFlights = new Flights(mShared.metrics());
        mTimer = Executors.newSingleThreadScheduledExecutor(DataPlane::timerThread);
        mAdmission =
                new AdmissionLoop(
                        new AdmissionController(s.slots(), time, new LoanRecorder(mShared)),
                        s.slots());
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

    /** Opens the ports; refuses all calls until a configuration is in force. */
    static DataPlane start(NodeSettings settings, TimeSource time, Consumer<Event> eventSink)
            throws NodeStartException {
        DataPlane node = new DataPlane(settings, time, eventSink);
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

    NodeIdentity identity() {
        return mShared.self();
    }

    HostPort ingress() {
        return mServers.ingress();
    }

    HostPort egress() {
        return mServers.egress();
    }

    /** Puts a configuration in force. */
    void apply(MeshConfig config) {
        mShared.config(config);
        mOwner.configure(config);
    }

    /** Starts to take calls. A configuration must be in force. */
    void serve() {
        if (mShared.lifecycle() == Lifecycle.JOINING) {
            mShared.lifecycle(Lifecycle.SERVING);
            mShared.events().record(EventType.NODE_READY, Map.of());
        }
    }

    /** Starts to leave: others are told, and until {@link #drain} work is still taken. */
    void leave() {
        mShared.lifecycle(Lifecycle.LEAVING);
        mShared.events().record(EventType.NODE_DRAINING, Map.of());
    }

    /** Takes no new work from now on. */
    void drain() {
        mShared.lifecycle(Lifecycle.DRAINING);
    }

    /** Calls in progress, in and out. */
    int inProgress() {
        return mFlights.open();
    }

    Shared shared() {
        return mShared;
    }

    AdmissionLoop admission() {
        return mAdmission;
    }

    /** Replaces the known backend servers. */
    void endpoints(List<Endpoint> endpoints) {
        mShared.router().update(endpoints);
    }

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
