package io.azurestage.node;

import io.azurestage.config.MeshConfig;
import io.azurestage.core.admission.ChainLevels;
import io.azurestage.core.context.ContextCodec;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.context.RequestId;
import io.azurestage.core.context.Signer;
import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.core.once.TicketIssuer;
import io.azurestage.core.routing.Router;
import io.azurestage.core.time.HybridClock;
import io.azurestage.core.time.TimeSource;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** Collaborators and state shared by all components of a node. Thread-safe. */
final class NodeContext {
    private final NodeSettings mSettings;
    private final NodeIdentity mSelf;
    private final TimeSource mTime;
    private final HybridClock mClock;
    private final Signer mSigner;
    private final ContextCodec mContexts;
    private final AnswerCodec mAnswers;
    private final Router mRouter;
    private final ChainLevels mLevels;
    private final EventLog mEvents;
    private final NodeMetrics mMetrics;
    private final ClientBounds mBounds;
    private final ActiveRequests mActiveRequests = new ActiveRequests();
    private final TicketIssuer mTickets;
    private volatile MeshConfig mConfig;
    private volatile Lifecycle mLifecycle = Lifecycle.JOINING;

    NodeContext(
            NodeSettings settings,
            NodeIdentity self,
            TimeSource time,
            HybridClock clock,
            Signer signer,
            Router router,
            EventLog events,
            NodeMetrics metrics,
            ClientBounds bounds) {
        mBounds = bounds;
        mSettings = settings;
        mSelf = self;
        mTime = time;
        mClock = clock;
        mSigner = signer;
        mRouter = router;
        mEvents = events;
        mMetrics = metrics;
        mContexts = new ContextCodec(signer, self);
        mAnswers = new AnswerCodec(signer);
        mLevels = new ChainLevels(time);
        mTickets =
                new TicketIssuer(
                        time, new SecureRandom(), Duration.ofMillis(settings.ticketWindowMillis()));
    }

    ClientBounds bounds() {
        return mBounds;
    }

    NodeSettings settings() {
        return mSettings;
    }

    NodeIdentity self() {
        return mSelf;
    }

    TimeSource time() {
        return mTime;
    }

    HybridClock clock() {
        return mClock;
    }

    Signer signer() {
        return mSigner;
    }

    ContextCodec contexts() {
        return mContexts;
    }

    AnswerCodec answers() {
        return mAnswers;
    }

    Router router() {
        return mRouter;
    }

    ChainLevels levels() {
        return mLevels;
    }

    EventLog events() {
        return mEvents;
    }

    NodeMetrics metrics() {
        return mMetrics;
    }

    ActiveRequests activeRequests() {
        return mActiveRequests;
    }

    TicketIssuer tickets() {
        return mTickets;
    }

    MeshConfig config() {
        return mConfig;
    }

    void config(MeshConfig config) {
        mConfig = config;
    }

    Lifecycle lifecycle() {
        return mLifecycle;
    }

    void lifecycle(Lifecycle lifecycle) {
        mLifecycle = lifecycle;
    }

    long randomId() {
        return ThreadLocalRandom.current().nextLong();
    }

    /** Converts a wall-clock deadline to nanoseconds of the monotonic clock. */
    long nanosOf(Instant deadline) {
        return mTime.nanos() + Duration.between(mTime.now(), deadline).toNanos();
    }

    void event(EventType type, RequestId id, String partner, Map<String, String> fields) {
        mEvents.record(type, id.toString(), partner, fields);
    }
}
