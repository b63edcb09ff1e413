package io.azurestage.node;

import io.azurestage.config.MeshConfig;
import io.azurestage.core.admission.ChainLevels;
import io.azurestage.core.context.ContextCodec;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.context.RequestId;
import io.azurestage.core.context.Signer;
import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.core.routing.Router;
import io.azurestage.core.time.HybridClock;
import io.azurestage.core.time.TimeSource;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** What all parts of a node share. Thread-safe. */
final class Shared {
    final NodeSettings settings;
    final NodeIdentity self;
    final TimeSource time;
    final HybridClock clock;
    final Signer signer;
    final ContextCodec contexts;
    final AnswerCodec answers;
    final Router router;
    final ChainLevels levels;
    final EventLog events;
    final NodeMetrics metrics;
    final ProgressTable progress = new ProgressTable();
    private volatile MeshConfig mConfig;
    private volatile Lifecycle mLifecycle = Lifecycle.JOINING;

    Shared(
            NodeSettings settings,
            NodeIdentity self,
            TimeSource time,
            HybridClock clock,
            Signer signer,
            Router router,
            EventLog events,
            NodeMetrics metrics) {
        this.settings = settings;
        this.self = self;
        this.time = time;
        this.clock = clock;
        this.signer = signer;
        this.router = router;
        this.events = events;
        this.metrics = metrics;
        contexts = new ContextCodec(signer, self);
        answers = new AnswerCodec(signer);
        levels = new ChainLevels(time);
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

    /** Converts a wall-clock deadline to the monotonic clock. */
    long nanosOf(Instant deadline) {
        return time.nanos() + java.time.Duration.between(time.now(), deadline).toNanos();
    }

    void event(EventType type, RequestId id, String partner, Map<String, String> fields) {
        events.record(type, id.toString(), partner, fields);
    }
}
