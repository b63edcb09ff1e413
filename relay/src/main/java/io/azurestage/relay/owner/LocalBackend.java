package io.azurestage.relay.owner;

import io.azurestage.config.WorkClass;
import io.azurestage.core.admission.AdmissionController;
import io.azurestage.core.admission.ChainKey;
import io.azurestage.core.admission.ChainLevels;
import io.azurestage.core.admission.PartnerClass;
import io.azurestage.core.admission.RefusalReason;
import io.azurestage.core.admission.ServiceLevel;
import io.azurestage.core.backend.BackendServer;
import io.azurestage.core.backend.BackendTracker;
import io.azurestage.core.calls.CallAttribution;
import io.azurestage.core.calls.ServerCallDetector;
import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.core.memory.MemoryAccount;
import io.azurestage.core.retry.RetryBudget;
import io.azurestage.core.routing.FaultRate;
import io.azurestage.core.time.PauseDetector;
import io.azurestage.core.time.TimeSource;
import io.azurestage.mesh.Address;
import io.azurestage.relay.HeaderNames;
import io.azurestage.relay.RelayMetrics;
import io.azurestage.relay.call.CallHandle;
import io.azurestage.relay.call.CallListener;
import io.azurestage.relay.call.CallResult;
import io.azurestage.relay.call.CallSpec;
import io.azurestage.relay.call.CallTarget;
import io.azurestage.relay.call.LoadReport;
import io.azurestage.relay.http.Field;
import io.azurestage.relay.http.Fields;
import io.azurestage.relay.http.HttpPool;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Runs calls on the local backend server: admission, connections, retry budget and load reports.
 * Confined to the event loop.
 */
public final class LocalBackend implements CallTarget {
    /** Name of the partner that all callers of a platform belong to. */
    public static final String PARTNER = "platform";

    /** Refusal reason: the server is about to shut down. */
    public static final String SERVER_LEAVING = "server-leaving";

    /** Refusal reason: the retry budget for the server is used up. */
    public static final String RETRY_BUDGET = "retry-budget";

    /** Refusal reason: the rate limit that the server states is used up. */
    public static final String SERVER_LIMIT = reason(RefusalReason.SERVER_LIMIT);

    /** Refusal reason: this node is about to stop. */
    public static final String STOPPING = "node-stopping";

    /**
     * Fraction of a server's slots that is used. Servers become slower when all slots are taken,
     * and a server without a free slot may never answer.
     */
    private static final double USABLE_SLOT_FRACTION = 0.94;

    /** Interval of the check for queued requests that can no longer meet their deadline. */
    private static final int FAST_TICK_MILLIS = 10;

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** Fraction of the retry budget reserved for more important work, by work class. */
    private static final double[] RETRY_RESERVES = {0, 0.1, 0.5};

    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    /**
     * How long the levels in load reports are reused. A change in the fractions of the local server
     * takes effect at once.
     */
    private static final long LEVELS_CACHE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Value of the header field with which a server states that it leaves. */
    private static final String LEAVING = "1";

    private static final int MAX_CACHED_OPERATIONS = 1_024;

    /**
     * Levels collected for an operation. The list remains the same object while its content is
     * unchanged.
     */
    private record CachedLevels(
            String levelName,
            Map<PartnerClass, Double> ownFractions,
            List<ServiceLevel> all,
            long collectedNanos) {}

    private final EventLoop mLoop;
    private final TimeSource mTime;
    private final PauseDetector mPauses;
    private final BackendTracker mTracker;
    private final HeaderNames mNames;
    private final CallAttribution mAttribution;
    private final ChainLevels mLevels;
    private final EventLog mEvents;
    private final Supplier<Map<String, Integer>> mNodesByService;
    private final Consumer<String> mCalledByServersListener;
    private final Runnable mLeavingListener;
    private final RelayMetrics mMetrics;
    private final RetryBudget mRetryBudget;
    private final MemoryAccount mMemory;
    private final ServerCallDetector mServerCallDetector = new ServerCallDetector();
    private final Map<ChainKey, Double> mDownstreamCalls = new HashMap<>();
    private final Map<String, CachedLevels> mCachedLevels = new HashMap<>();
    private BackendServer mServer;
    private AdmissionController mAdmission;
    private HttpPool mPool;
    private FaultRate mFaultRate;
    private NamedLimit mNamedLimit;
    private boolean mStopping;
    private boolean mFastTickScheduled;

    /**
     * Creates an instance without a server. It refuses all calls until the tracker has one.
     *
     * @param loop the event loop
     * @param time clock
     * @param pauses reports whether this node has paused; its owner runs its tick
     * @param tracker tracks the state of the local backend server
     * @param names names of the header fields that the platform uses
     * @param attribution maps calls of the backend server to the running requests that made them
     * @param levels admitted fractions of downstream services
     * @param events event log
     * @param nodesByService supplies the number of known nodes by service
     * @param calledByServers receives the name of each operation that servers call, once for each
     *     load report about it
     * @param leaving called for each answer in which the server states that it leaves
     * @param metrics records refusals and queueing times
     * @param retryBudget this node's share of the retries allowed for the service
     * @param memory account for incomplete answers of the server
     */
    public LocalBackend(
            EventLoop loop,
            TimeSource time,
            PauseDetector pauses,
            BackendTracker tracker,
            HeaderNames names,
            CallAttribution attribution,
            ChainLevels levels,
            EventLog events,
            Supplier<Map<String, Integer>> nodesByService,
            Consumer<String> calledByServers,
            Runnable leaving,
            RelayMetrics metrics,
            RetryBudget retryBudget,
            MemoryAccount memory) {
        mMemory = memory;
        mLoop = loop;
        mTime = time;
        mPauses = pauses;
        mTracker = tracker;
        mNames = names;
        mAttribution = attribution;
        mLevels = levels;
        mEvents = events;
        mNodesByService = nodesByService;
        mCalledByServersListener = calledByServers;
        mLeavingListener = leaving;
        mMetrics = metrics;
        mRetryBudget = retryBudget;
    }

    /** Switches to the server that the tracker reports. Call it after the server has changed. */
    public void serverChanged() {
        BackendServer server = mTracker.server().orElse(null);
        boolean same =
                server != null
                        && mServer != null
                        && server.serverId().equals(mServer.serverId())
                        && server.startedAtMillis() == mServer.startedAtMillis()
                        && server.address().equals(mServer.address());
        mServer = server;
        if (same || server == null) {
            return;
        }
        if (mPool != null) {
            mPool.close();
        }
        mPool =
                new HttpPool(
                        mLoop,
                        mTime,
                        Address.parse(server.address()).orElseThrow(),
                        CONNECT_TIMEOUT,
                        mMemory);
        int limit = Math.max(1, (int) Math.floor(server.slots() * USABLE_SLOT_FRACTION));
        mAdmission = AdmissionController.withFixedLimit(limit, mTime);
        mFaultRate = new FaultRate(mTime);
        mNamedLimit = new NamedLimit(mNames.limit(), mEvents);
    }

    /** Refuses new calls from now on; calls that have started are completed. */
    public void stop() {
        mStopping = true;
    }

    /**
     * Updates admission and the share of the retry budget. Call it every 100 ms; while the server
     * is near its limit, further updates are scheduled every 10 ms.
     */
    public void tick() {
        if (mAdmission != null) {
            mAdmission.tick();
            scheduleFastTickIfPressed();
        }
        if (mServer != null) {
            mRetryBudget.setNodeCount(mNodesByService.get().getOrDefault(mServer.service(), 1));
        }
    }

    private void scheduleFastTickIfPressed() {
        if (!mFastTickScheduled && mAdmission.isPressed()) {
            mFastTickScheduled = true;
            mLoop.schedule(this::runFastTick, FAST_TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void runFastTick() {
        mFastTickScheduled = false;
        tick();
    }

    /**
     * Returns the number of requests that the server runs or that are queued for it.
     *
     * @return the number of requests in progress
     */
    public int inProgress() {
        return mAdmission == null ? 0 : mAdmission.inFlight() + mAdmission.queued();
    }

    /**
     * Returns the rate limit that the server states.
     *
     * @return requests per second, 0 if it states none
     */
    public double namedLimit() {
        return mNamedLimit == null ? 0 : mNamedLimit.perSecond().orElse(0);
    }

    @Override
    public CallHandle start(CallSpec spec, CallListener listener) {
        Optional<String> refusal = refusalReason(spec);
        if (refusal.isPresent()) {
            mMetrics.refused(refusal.get());
            mEvents.record(
                    EventType.REQUEST_REFUSED,
                    spec.requestId(),
                    "",
                    Map.of("reason", refusal.get(), "service", spec.service()));
            boolean elsewhere = !refusal.get().equals(RETRY_BUDGET);
            listener.done(
                    new CallResult.NotRun(refusal.get(), RETRY_AFTER, elsewhere),
                    LoadReport.UNKNOWN);
            return () -> {};
        }
        mServerCallDetector.recordRequest(spec.operation(), spec.callerService());
        BackendCall call = new BackendCall(this, mServer, mAdmission, mPool, spec, listener);
        call.offer();
        scheduleFastTickIfPressed();
        return call;
    }

    private Optional<String> refusalReason(CallSpec spec) {
        if (mStopping) {
            return Optional.of(STOPPING);
        }
        if (mServer == null || !mServer.service().equals(spec.service())) {
            return Optional.of("no-server-of-this-service");
        }
        if (!mTracker.acceptsRequests()) {
            return Optional.of(SERVER_LEAVING);
        }
        return isOverBudget(spec) ? Optional.of(RETRY_BUDGET) : Optional.empty();
    }

    private boolean isOverBudget(CallSpec spec) {
        return spec.retry() && !spec.granted() && !grantRetry(spec);
    }

    /**
     * Takes a retry from the budget. The node whose server failed the first attempt is charged,
     * because it has counted that attempt: if the retries of several failing servers all go to one
     * healthy server, the budget of its node covers only a few of them.
     */
    boolean grantRetry(CallSpec spec) {
        return mRetryBudget.tryRetry(spec.service(), RETRY_RESERVES[spec.workClass().ordinal()]);
    }

    /**
     * Updates the retry budget for a request sent to the server. Calls made by a request that is
     * itself a retry are charged to the budget, but never refused because of it.
     */
    void requestSent(CallSpec spec) {
        if (!spec.repeat()) {
            mRetryBudget.recordRequest(spec.service());
        } else if (!spec.retry()) {
            mRetryBudget.charge(spec.service());
        }
    }

    /** Handles the header fields of an answer of the server. */
    void answered(BackendServer server, List<Field> fields) {
        if (isCurrent(server)) {
            mNamedLimit.answered(server.serverId(), fields);
            mAdmission.limitRate(mNamedLimit.perSecond());
            if (Fields.first(fields, mNames.leaving()).filter(LEAVING::equals).isPresent()) {
                mLeavingListener.run();
            }
        }
    }

    private boolean isCurrent(BackendServer server) {
        return server.isSameIncarnation(mServer.serverId(), mServer.startedAtMillis());
    }

    /** Counts the end of a request in the fault rate of the server. */
    void requestEnded(boolean failed) {
        mFaultRate.ended(failed);
    }

    boolean mayStart(BackendServer server) {
        return !mStopping
                && server.serverId().equals(mServer.serverId())
                && mTracker.acceptsRequests();
    }

    LoadReport loadReport(CallSpec spec, AdmissionController admission) {
        ChainKey key = chain(spec);
        boolean inProgress = spec.inProgress();
        List<ServiceLevel> levels =
                levels(
                        key,
                        inProgress ? ServiceLevel.callsTo(key.service()) : key.service(),
                        inProgress ? admission.callFractions() : admission.fractions());
        double downstreamCalls =
                mAttribution.callsPerRequest(key) * (1 + mDownstreamCalls.getOrDefault(key, 0.0));
        boolean calledByServers =
                mServerCallDetector.isCalledByServers(spec.operation(), mNodesByService.get());
        if (calledByServers) {
            mCalledByServersListener.accept(spec.operation());
        }
        return new LoadReport(
                admission.load(),
                mFaultRate.rate(),
                levels,
                downstreamCalls,
                calledByServers,
                admission.divertedFraction(),
                false);
    }

    private List<ServiceLevel> levels(
            ChainKey key, String levelName, Map<PartnerClass, Double> ownFractions) {
        long nowNanos = mTime.nanos();
        CachedLevels known = mCachedLevels.get(key.operation());
        boolean same =
                known != null
                        && known.levelName.equals(levelName)
                        && known.ownFractions == ownFractions;
        if (same && nowNanos - known.collectedNanos < LEVELS_CACHE_NANOS) {
            return known.all;
        }
        List<ServiceLevel> all = collectLevels(key, levelName, ownFractions);
        if (known != null && known.all.equals(all)) {
            all = known.all;
        }
        if (mCachedLevels.size() >= MAX_CACHED_OPERATIONS) {
            mCachedLevels.clear();
        }
        mCachedLevels.put(
                key.operation(), new CachedLevels(levelName, ownFractions, all, nowNanos));
        return all;
    }

    private List<ServiceLevel> collectLevels(
            ChainKey key, String levelName, Map<PartnerClass, Double> ownFractions) {
        List<ServiceLevel> all = new ArrayList<>();
        for (WorkClass c : WorkClass.values()) {
            double f = ownFractions.getOrDefault(new PartnerClass(PARTNER, c), 1.0);
            all.add(new ServiceLevel(levelName, c, f));
        }
        for (WorkClass c : WorkClass.values()) {
            ChainKey ofClass = new ChainKey(key.service(), key.operation(), PARTNER, c);
            mLevels.fractions(ofClass)
                    .forEach((service, f) -> all.add(new ServiceLevel(service, c, f)));
        }
        return List.copyOf(all);
    }

    /**
     * Treats an operation as called by backend servers until traffic shows whether it is.
     *
     * @param operation name of the route
     */
    public void assumeCalledByServers(String operation) {
        mServerCallDetector.assumeCalledByServers(operation);
    }

    /**
     * Updates the moving average of the further calls that each call of the local server causes.
     *
     * @param parent chain of the request that made the call
     * @param calls further calls that the call causes on average
     */
    public void learnDownstreamCalls(ChainKey parent, double calls) {
        mDownstreamCalls.merge(parent, calls, (a, b) -> a + (b - a) / 16);
    }

    static String reason(RefusalReason r) {
        return r.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static ChainKey chain(CallSpec spec) {
        return new ChainKey(spec.service(), spec.operation(), PARTNER, spec.workClass());
    }

    EventLoop loop() {
        return mLoop;
    }

    TimeSource time() {
        return mTime;
    }

    PauseDetector pauses() {
        return mPauses;
    }

    HeaderNames names() {
        return mNames;
    }

    CallAttribution attribution() {
        return mAttribution;
    }

    RelayMetrics metrics() {
        return mMetrics;
    }

    EventLog events() {
        return mEvents;
    }
}
