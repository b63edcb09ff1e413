package io.azurestage.relay;

import com.google.common.flogger.FluentLogger;
import io.azurestage.core.admission.ChainLevels;
import io.azurestage.core.backend.BackendServer;
import io.azurestage.core.backend.BackendState;
import io.azurestage.core.backend.BackendTracker;
import io.azurestage.core.backend.Heartbeat;
import io.azurestage.core.backend.ServerEntry;
import io.azurestage.core.backend.ServerEntryTable;
import io.azurestage.core.calls.CallAttribution;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.core.retry.RetryBudget;
import io.azurestage.core.route.RequestLimits;
import io.azurestage.core.route.TrafficConfig;
import io.azurestage.core.routing.EjectionListener;
import io.azurestage.core.routing.Router;
import io.azurestage.core.routing.RoutingSettings;
import io.azurestage.core.time.PauseDetector;
import io.azurestage.core.time.TimeSource;
import io.azurestage.mesh.Address;
import io.azurestage.relay.entry.EntryGate;
import io.azurestage.relay.entry.EntryHandler;
import io.azurestage.relay.entry.EntrySettings;
import io.azurestage.relay.fleet.Announcer;
import io.azurestage.relay.fleet.CallRecords;
import io.azurestage.relay.fleet.ConfigFeed;
import io.azurestage.relay.fleet.ConfigSpread;
import io.azurestage.relay.fleet.FleetDirectory;
import io.azurestage.relay.fleet.LeaveRecords;
import io.azurestage.relay.fleet.PrefixFeed;
import io.azurestage.relay.http.ClientGuard;
import io.azurestage.relay.http.HttpListener;
import io.azurestage.relay.link.LinkClient;
import io.azurestage.relay.link.LinkSelf;
import io.azurestage.relay.link.LinkServer;
import io.azurestage.relay.link.LinkStateListener;
import io.azurestage.relay.owner.LocalBackend;
import io.azurestage.relay.quota.QuotaExchange;
import io.azurestage.store.StoreReset;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * A node on a platform. It accepts the requests of callers on its VM, runs calls on the local
 * backend server, and keeps links to the other nodes. All parts run on one event loop and need no
 * locks.
 *
 * <pre>{@code
 * Relay relay = Relay.start(settings, port, group, events, TimeSource.system());
 * relay.onHeartbeat(heartbeat, acknowledge); // on the event loop
 * relay.stop(() -> exit());
 * }</pre>
 */
public final class Relay {
    private static final String NODE_ENTRY_PREFIX = "azurestage/nodes/";
    private static final int TICK_MILLIS = 100;

    /** Missed heartbeats after which a backend server counts as gone. */
    private static final int MAX_MISSED_HEARTBEATS = 5;

    /**
     * Fraction of the drain time in which queued work is still sent, so that it arrives in time.
     */
    private static final double DRAIN_SEND_FRACTION = 0.6;

    /**
     * How long a node stays usable after its entry has expired in the store. Leases expire during
     * an outage of the store, and nodes write their entries again within this time.
     */
    private static final Duration LAPSED_ENTRY_GRACE = Duration.ofMillis(2_500);

    /**
     * Extra wait that routing accepts to keep a call in the same data centre, because traffic
     * between data centres is charged. It is a tenth of the shortest latency target of users'
     * routes and therefore hardly noticeable.
     */
    private static final Duration CROSS_DATA_CENTRE_COST = Duration.ofMillis(10);

    /**
     * Extra wait that routing accepts to keep a call in the same region. It exceeds the round-trip
     * time to another region, because traffic between regions is the most expensive.
     */
    private static final Duration CROSS_REGION_COST = Duration.ofMillis(100);

    /** Servers of the users' services are slow for the first three seconds after their start. */
    private static final Duration WARM_UP = Duration.ofSeconds(3);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Tasks run at each tick. A failure of one must not prevent the others from running. */
    private static final List<Consumer<Relay>> TICK_TASKS =
            List.of(
                    r -> r.mReports.tick(),
                    r -> r.mLocalBackend.tick(),
                    r -> r.mDirectory.tick(),
                    r -> r.mLinkServer.tick(),
                    r -> r.mAnnouncer.tick(),
                    r -> r.mQuotas.tick(),
                    Relay::continueStop);

    private static final RoutingSettings ROUTING_SETTINGS =
            new RoutingSettings(CROSS_DATA_CENTRE_COST, CROSS_REGION_COST, WARM_UP);

    private final RelaySettings mSettings;
    private final EventLoop mLoop;
    private final TimeSource mTime;
    private final EventLog mEvents;
    private final NodeIdentity mIdentity;
    private final BackendTracker mTracker;
    private final LocalBackend mLocalBackend;
    private final EntryHandler mEntryHandler;
    private final EntryGate mEntryGate;
    private final FleetDirectory mDirectory;
    private final Announcer mAnnouncer;
    private final ConfigFeed mConfigFeed;
    private final ConfigSpread mConfigSpread;
    private final PrefixFeed mConfigKeyFeed;
    private final PrefixFeed mEntryKeyFeed;
    private final LinkServer mLinkServer;
    private final ServerReports mReports;
    private final LeaveRecords mLeaveRecords;
    private final CallRecords mCallRecords;
    private final RelayMetrics mMetrics;
    private final QuotaExchange mQuotas;
    private final PauseDetector mPauses;
    private final ClientGuard mGuard;
    private RequestLimits mLimits = RequestLimits.defaults();
    private HttpListener mListener;
    private boolean mStopping;
    private boolean mListenerClosed;
    private Runnable mStoppedCallback;
    private StopTimes mStopTimes;
    private long mStopStartedNanos;
    private long mStoreEra;

    private Relay(
            RelaySettings settings,
            PlatformPort port,
            EventLoop loop,
            EventLog events,
            RelayMetrics metrics,
            TimeSource time) {
        mSettings = settings;
        mMetrics = metrics;
        mLoop = loop;
        mTime = time;
        mEvents = events;
        port.store().onReset(this::reportReset);
        mGuard =
                ClientGuard.of(
                        settings.descriptors(),
                        port.names().requestId(),
                        time,
                        Optional.of(events));
        mIdentity = new NodeIdentity(settings.nodeId(), time.now().toEpochMilli());
        mTracker = tracker(settings, time);
        mLeaveRecords = new LeaveRecords(loop, time, port.store(), events);
        mReports = serverReports();
        SplittableRandom random = new SplittableRandom(mIdentity.incarnation());
        CallAttribution calls = new CallAttribution(time, random.split());
        ChainLevels levels = new ChainLevels(time);
        mCallRecords = new CallRecords(loop, port.store(), events);
        mPauses = new PauseDetector(time);
        mLocalBackend = localBackend(port, calls, levels);
        String link = hostPort(settings.linkAddress());
        mConfigSpread = configSpread(port, link);
        mConfigFeed =
                new ConfigFeed(
                        port.configKey(),
                        port.configDecoder(),
                        this::applyConfig,
                        mConfigSpread,
                        this::distrustWatches,
                        events);
        String ownKey = NODE_ENTRY_PREFIX + link;
        mAnnouncer = new Announcer(loop, time, port.store(), ownKey, events);
        mQuotas = quotaExchange(time, link);
        LinkSelf self = linkSelf();
        mDirectory =
                new FleetDirectory(
                        new ServerEntryTable(time, LAPSED_ENTRY_GRACE),
                        router(settings, time, random),
                        a -> linkClient(a, self),
                        ownKey,
                        link,
                        mLocalBackend,
                        mAnnouncer::disappeared,
                        events);
        mEntryHandler =
                new EntryHandler(
                        loop,
                        time,
                        new EntrySettings(port.names(), settings.service()),
                        mDirectory,
                        levels,
                        calls,
                        events,
                        mLocalBackend::learnDownstreamCalls,
                        metrics,
                        mQuotas);
        mEntryGate = new EntryGate(mEntryHandler, mEntryHandler::refuseAsStopping);
        mDirectory.onNodesChanged(this::nodesChanged);
        mLinkServer = new LinkServer(time, mPauses, self, mLocalBackend, mGuard.memory());
        mConfigKeyFeed =
                new PrefixFeed(loop, port.store(), port.configPrefix(), mConfigFeed, events);
        mEntryKeyFeed = new PrefixFeed(loop, port.store(), NODE_ENTRY_PREFIX, mDirectory, events);
    }

    private void nodesChanged(Set<String> addresses) {
        mQuotas.setNodes(addresses);
        mConfigSpread.setNodes(addresses);
    }

    /** Whatever has silenced one idle connection to the store may have silenced the other. */
    private void distrustWatches() {
        String reason = "no report of version " + mConfigFeed.version() + ", which a node has read";
        mConfigKeyFeed.distrustWatch(reason);
        mEntryKeyFeed.distrustWatch(reason);
    }

    private LocalBackend localBackend(
            PlatformPort port, CallAttribution calls, ChainLevels levels) {
        return new LocalBackend(
                mLoop,
                mTime,
                mPauses,
                mTracker,
                port.names(),
                calls,
                levels,
                mEvents,
                this::nodesByService,
                mCallRecords::write,
                mReports::onLeavingStated,
                mMetrics,
                budget(mSettings, mTime),
                mGuard.memory());
    }

    private QuotaExchange quotaExchange(TimeSource time, String link) {
        return new QuotaExchange(
                time,
                mSettings.quotas(),
                mSettings.nodeId(),
                link,
                mIdentity.incarnation(),
                (owner, reports) -> mDirectory.link(owner).sendReports(reports));
    }

    private ServerReports serverReports() {
        return new ServerReports(
                mSettings.service(),
                mSettings.linkAddress().getAddress(),
                mTracker,
                mLeaveRecords,
                this::serverChanged);
    }

    private ConfigSpread configSpread(PlatformPort port, String link) {
        return new ConfigSpread(
                mLoop,
                port.store(),
                port.configPrefix(),
                link,
                a -> mDirectory.link(a),
                new Random(mIdentity.incarnation()));
    }

    private LinkSelf linkSelf() {
        return new LinkSelf(
                mIdentity,
                new AtomicLong()::incrementAndGet,
                mConfigFeed::version,
                mConfigFeed::document,
                mConfigFeed::receive,
                mQuotas,
                mReports::onLeaveRemembered);
    }

    private LinkClient linkClient(String address, LinkSelf self) {
        return new LinkClient(
                mLoop,
                mTime,
                Address.parse(address).orElseThrow(),
                self,
                linkStateListener(),
                mGuard.memory());
    }

    private static BackendTracker tracker(RelaySettings settings, TimeSource time) {
        long drainNanos = (long) (settings.drain().toNanos() * DRAIN_SEND_FRACTION);
        Duration silence = settings.heartbeat().multipliedBy(MAX_MISSED_HEARTBEATS);
        return new BackendTracker(time, Duration.ofNanos(drainNanos), silence);
    }

    private static RetryBudget budget(RelaySettings settings, TimeSource time) {
        return new RetryBudget(
                time, settings.retryRatio(), settings.retryConstant(), settings.retryWindow());
    }

    private static Router router(RelaySettings settings, TimeSource time, SplittableRandom random) {
        return new Router(
                settings.dataCentre(),
                settings.region(),
                ROUTING_SETTINGS,
                EjectionListener.NONE,
                time,
                random.split());
    }

    /**
     * Starts a node and opens its ports.
     *
     * @param settings settings
     * @param port header names, store and configuration decoder of the platform
     * @param group group with a single event loop
     * @param events event log
     * @param metrics metrics of the node
     * @param time clock
     * @return the running node
     * @throws IllegalStateException if a port cannot be opened, for instance because it is in use
     */
    public static Relay start(
            RelaySettings settings,
            PlatformPort port,
            MultiThreadIoEventLoopGroup group,
            EventLog events,
            RelayMetrics metrics,
            TimeSource time) {
        EventLoop loop = (EventLoop) group.next();
        Relay relay = new Relay(settings, port, loop, events, metrics, time);
        relay.mListener =
                HttpListener.open(
                        group,
                        settings.entryAddress(),
                        () -> relay.mLimits,
                        relay.mEntryGate,
                        relay.mGuard);
        relay.mLinkServer.open(group, settings.linkAddress());
        relay.registerGauges();
        loop.execute(relay::startOnLoop);
        return relay;
    }

    private void registerGauges() {
        mMetrics.gauge(
                "azurestage_open_requests",
                "requests of callers on this VM without an answer",
                mEntryHandler::openRequests);
        mMetrics.gauge(
                "azurestage_server_work",
                "requests that run at the backend server or wait for it",
                mLocalBackend::inProgress);
        mMetrics.gauge(
                "azurestage_server_limit",
                "requests per second that the backend server accepts, 0 if it states none",
                mLocalBackend::namedLimit);
        mMetrics.gauge("azurestage_known_nodes", "nodes that are in use", mDirectory::nodes);
        mMetrics.gauge(
                "azurestage_config_version",
                "configuration in force, 0 if none",
                mConfigFeed::version);
        mMetrics.gauge(
                "azurestage_store_era",
                "era of the store's data after it was last restored from a copy, 0 before",
                () -> mStoreEra);
        mMetrics.gauge(
                "azurestage_ready", "1 if callers may send new work", () -> isReady() ? 1 : 0);
    }

    private void reportReset(StoreReset r) {
        mStoreEra = r.era();
        mEvents.record(
                EventType.STORE_RESET,
                Map.of(
                        "previousEra", Long.toString(r.previousEra()),
                        "era", Long.toString(r.era()),
                        "nodes", Integer.toString(mDirectory.nodes()),
                        "configVersion", Long.toString(mConfigFeed.version())));
    }

    private void startOnLoop() {
        mEvents.record(
                EventType.NODE_STARTED,
                Map.of(
                        "service", mSettings.service(),
                        "incarnation", Long.toString(mIdentity.incarnation()),
                        "link", hostPort(mSettings.linkAddress())));
        mReports.start();
        mCallRecords.load(this::assumeCalledByServers);
        mConfigKeyFeed.start();
        mEntryKeyFeed.start();
        mLoop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        reportPause();
        TICK_TASKS.forEach(this::run);
    }

    private void reportPause() {
        mPauses.tick()
                .ifPresent(
                        p ->
                                mEvents.record(
                                        EventType.NODE_PAUSED,
                                        Map.of("millis", Long.toString(p.toMillis()))));
    }

    /**
     * Runs a task and logs its failure; the event loop silently cancels a periodic task that
     * throws.
     */
    private void run(Consumer<Relay> task) {
        try {
            task.accept(this);
        } catch (RuntimeException e) {
            LOGGER.atSevere().withCause(e).atMostEvery(1, TimeUnit.SECONDS).log(
                    "periodic task failed; next run in %d ms", TICK_MILLIS);
        }
    }

    /**
     * Handles a heartbeat of the local backend server. Call it on the event loop.
     *
     * @param h the heartbeat
     * @param acknowledge acknowledges the heartbeat to the server. If the server is leaving, it
     *     runs once that is recorded or the store has not answered in time
     * @throws IllegalArgumentException if it is not a heartbeat of the backend server on this VM;
     *     the message names the field
     */
    public void onHeartbeat(Heartbeat h, Runnable acknowledge) {
        mReports.onHeartbeat(h, acknowledge);
    }

    /**
     * Handles a report of the local backend server that it leaves. Call it on the event loop.
     *
     * @param serverId id of the server
     * @param startedAtMillis start of the server in epoch milliseconds, 0 if the report does not
     *     state it
     * @param acknowledge acknowledges the report to the server; runs once the report is recorded or
     *     the store has not answered in time
     */
    public void onDeregistered(String serverId, long startedAtMillis, Runnable acknowledge) {
        mReports.onDeregistered(serverId, startedAtMillis, acknowledge);
        announce();
    }

    /**
     * Reports whether callers may send new work here.
     *
     * @return whether a configuration and the entries of nodes are known, and the node is not
     *     stopping
     */
    public boolean isReady() {
        return !mStopping && mConfigFeed.version() > 0 && mDirectory.nodes() > 0;
    }

    /**
     * Returns the version of the configuration in force.
     *
     * @return the version, 0 if none is known
     */
    public long configVersion() {
        return mConfigFeed.version();
    }

    /**
     * Returns the bounds on clients, which all listeners of the process share.
     *
     * @return the guard
     */
    public ClientGuard clientGuard() {
        return mGuard;
    }

    /** Returns the number of requests that have not been answered yet. */
    int openRequests() {
        return mEntryHandler.openRequests();
    }

    /**
     * Returns the request limits that currently apply to callers.
     *
     * @return the limits
     */
    public RequestLimits limits() {
        return mLimits;
    }

    /**
     * Refuses new work for the backend server, closes each caller's connection after its next
     * answer, and waits until all requests are answered. Call it on the event loop.
     *
     * @param stoppedCallback runs when all requests are answered or the stop time is nearly over
     */
    public void stop(Runnable stoppedCallback) {
        if (mStopping) {
            return;
        }
        mStopping = true;
        mStoppedCallback = stoppedCallback;
        mStopTimes = StopTimes.of(mSettings.stopTime());
        mStopStartedNanos = mTime.nanos();
        mEvents.record(
                EventType.NODE_DRAINING,
                Map.of("open", Integer.toString(mEntryHandler.openRequests())));
        mLocalBackend.stop();
        mListener.drain();
        announce();
    }

    /**
     * Takes fewer and fewer requests, and reports when the node has stopped. Callers should leave
     * when readiness checks fail, but some stay until the port is closed. From then on no request
     * is passed on, so callers can safely send it to another node.
     */
    private void continueStop() {
        if (!mStopping) {
            return;
        }
        Duration elapsed = Duration.ofNanos(mTime.nanos() - mStopStartedNanos);
        if (elapsed.compareTo(mStopTimes.anyDeadline()) >= 0) {
            mEntryHandler.takeUntil(mStopStartedNanos + mStopTimes.latestDeadline().toNanos());
        }
        if (!mListenerClosed && elapsed.compareTo(mStopTimes.close()) >= 0) {
            mListenerClosed = true;
            mListener.close();
            mEntryGate.close();
            return;
        }
        if (!mListenerClosed || !isIdle() && elapsed.compareTo(mStopTimes.exit()) < 0) {
            return;
        }
        mEvents.record(
                EventType.NODE_STOPPED,
                Map.of(
                        "open", Integer.toString(mEntryHandler.openRequests()),
                        "running", Integer.toString(mLocalBackend.inProgress()),
                        "answering", Integer.toString(mListener.busyConnections()),
                        "unwritten", Integer.toString(mLinkServer.unwritten())));
        mStoppedCallback.run();
    }

    /** Reports whether all that was taken is run, written and recorded. */
    private boolean isIdle() {
        return mEntryHandler.openRequests() == 0
                && mLocalBackend.inProgress() == 0
                && mListener.busyConnections() == 0
                && mLinkServer.unwritten() == 0
                && !mLeaveRecords.isWriting();
    }

    private void serverChanged() {
        mLocalBackend.serverChanged();
        BackendServer s = mTracker.server().orElseThrow();
        mEvents.record(
                EventType.SERVER_CHANGED,
                Map.of(
                        "server", s.serverId(),
                        "state", s.state().name(),
                        "service", s.service(),
                        "startedAtMillis", Long.toString(s.startedAtMillis()),
                        "slots", Integer.toString(s.slots())));
        announce();
    }

    private void announce() {
        BackendServer s = mTracker.server().orElse(null);
        if (s == null) {
            return;
        }
        BackendState state = mStopping ? BackendState.GONE : s.state();
        mAnnouncer.announce(
                new ServerEntry(
                        mIdentity,
                        hostPort(mSettings.linkAddress()),
                        mSettings.dataCentre(),
                        mSettings.region(),
                        new BackendServer(
                                s.serverId(),
                                s.startedAtMillis(),
                                s.service(),
                                s.address(),
                                s.slots(),
                                state),
                        mLeaveRecords.recent()));
    }

    private void assumeCalledByServers(String operation) {
        mLocalBackend.assumeCalledByServers(operation);
        mEntryHandler.assumeCalledByServers(operation);
    }

    private void applyConfig(TrafficConfig config) {
        mLimits = config.limits();
        mQuotas.configure(config.partners().all());
        mEntryHandler.configure(config);
    }

    private Map<String, Integer> nodesByService() {
        return mDirectory.nodesByService();
    }

    private LinkStateListener linkStateListener() {
        return (address, up, reason) ->
                mEvents.record(
                        up ? EventType.LINK_UP : EventType.LINK_DOWN,
                        Map.of("address", address, "reason", reason));
    }

    private static String hostPort(InetSocketAddress a) {
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }
}
