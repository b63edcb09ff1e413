package io.azurestage.node;

import io.azurestage.config.MeshConfig;
import io.azurestage.core.admission.AdmissionController;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.context.Signer;
import io.azurestage.core.event.Event;
import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.core.membership.Member;
import io.azurestage.core.once.TicketRegistry;
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

/** Handles the calls of a node: HTTP servers and clients, admission, routing, forwarding. */
final class DataPlane implements AutoCloseable {
    private static final long TICKET_REGISTRY_BYTES = 64L << 20;
    private static final long PROGRESS_EXPIRY_INTERVAL_MILLIS = 1_000;

    private final NodeContext mContext;
    private final AdmissionLoop mAdmission;
    private final BackendDispatcher mDispatcher;
    private final HttpClient mNodeClient;
    private final HttpClient mBackendClient;
    private final HttpServers mServers;
    private final InFlightCalls mInFlight;
    private final ScheduledExecutorService mTimer;

    private DataPlane(
            NodeSettings s, TimeSource time, Consumer<Event> eventSink, ClientBounds bounds) {
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
        // Many threads route concurrently, and most generators of the JDK are not thread-safe.
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
        mContext =
                new NodeContext(
                        s, self, time, clock, signer, router, events, new NodeMetrics(), bounds);
        mInFlight = new InFlightCalls(mContext.metrics());
        mTimer = Executors.newSingleThreadScheduledExecutor(DataPlane::timerThread);
        mAdmission =
                new AdmissionLoop(
                        new AdmissionController(s.slots(), time, new LoanRecorder(mContext)),
                        s.slots());
        mNodeClient = HttpClients.toNodes(s);
        mBackendClient = HttpClients.toBackend(s);
        TicketRegistry ticketRegistry =
                new TicketRegistry(self, s.maxTickets(), TICKET_REGISTRY_BYTES, time);
        mDispatcher = new BackendDispatcher(mContext, mAdmission, ticketRegistry, mBackendClient);
        Forwarder forwarder =
                new Forwarder(
                        mContext,
                        mNodeClient,
                        (d, task) -> mTimer.schedule(task, d.toNanos(), TimeUnit.NANOSECONDS));
        mServers =
                new HttpServers(
                        s,
                        bounds,
                        new IngressHandler(
                                mContext,
                                new EntryHandler(mContext, forwarder, mInFlight),
                                new PeerCallHandler(mContext, mDispatcher, mInFlight),
                                new TicketHandler(mContext)),
                        new EgressHandler(mContext, forwarder, mInFlight));
    }

    /** Opens the ports. All calls are refused until a configuration is applied. */
    static DataPlane start(
            NodeSettings settings, TimeSource time, Consumer<Event> eventSink, ClientBounds bounds)
            throws NodeStartException {
        DataPlane dataPlane = new DataPlane(settings, time, eventSink, bounds);
        try {
            dataPlane.open();
            return dataPlane;
        } catch (NodeStartException e) {
            dataPlane.close();
            throw e;
        }
    }

    private void open() throws NodeStartException {
        mAdmission.start();
        HttpClients.start(mNodeClient);
        HttpClients.start(mBackendClient);
        mServers.start();
        mTimer.scheduleWithFixedDelay(
                () -> mContext.activeRequests().expire(mContext.time().nanos()),
                PROGRESS_EXPIRY_INTERVAL_MILLIS,
                PROGRESS_EXPIRY_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        mContext.events().record(EventType.NODE_STARTED, Map.of("ingress", ingress().toString()));
    }

    NodeIdentity identity() {
        return mContext.self();
    }

    HostPort ingress() {
        return mServers.ingress();
    }

    HostPort egress() {
        return mServers.egress();
    }

    /** Applies a configuration. */
    void apply(MeshConfig config) {
        mContext.config(config);
        mDispatcher.configure(config);
    }

    /** Starts accepting calls. A configuration must have been applied. */
    void serve() {
        if (mContext.lifecycle() == Lifecycle.JOINING) {
            mContext.lifecycle(Lifecycle.SERVING);
            mContext.events().record(EventType.NODE_READY, Map.of());
        }
    }

    /**
     * Starts leaving: the other nodes learn of it, and new requests are still accepted until {@link
     * #drain}.
     */
    void leave() {
        mContext.lifecycle(Lifecycle.LEAVING);
        mContext.events().record(EventType.NODE_DRAINING, Map.of());
    }

    /** Refuses new requests from now on. */
    void drain() {
        mContext.lifecycle(Lifecycle.DRAINING);
    }

    /** Returns the number of ingress and egress calls in progress. */
    int inProgress() {
        return mInFlight.open();
    }

    NodeContext context() {
        return mContext;
    }

    AdmissionLoop admission() {
        return mAdmission;
    }

    /** Replaces the known backend servers. */
    void updateEndpoints(List<Endpoint> endpoints) {
        mContext.router().update(endpoints);
    }

    @Override
    public void close() {
        mServers.stop();
        HttpClients.stop(mNodeClient);
        HttpClients.stop(mBackendClient);
        mAdmission.close();
        mTimer.shutdownNow();
    }

    private static Thread timerThread(Runnable r) {
        Thread t = new Thread(r, "timer");
        t.setDaemon(true);
        return t;
    }
}
