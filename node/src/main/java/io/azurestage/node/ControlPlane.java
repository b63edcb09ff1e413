package io.azurestage.node;

import io.azurestage.config.Azurestage;
import io.azurestage.config.ConfigException;
import io.azurestage.core.context.Signer;
import io.azurestage.core.event.EventType;
import io.azurestage.core.membership.Member;
import io.azurestage.core.routing.Endpoint;
import io.azurestage.core.spread.ConfigRecord;
import io.azurestage.core.spread.ReadinessRule;
import io.azurestage.mesh.Mesh;
import io.azurestage.mesh.MeshSettings;
import io.azurestage.mesh.MeshStartException;
import io.azurestage.store.PlatformStore;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/** Manages membership, configuration and readiness of a node, and updates its data plane. */
final class ControlPlane implements AutoCloseable {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
    private static final int QUEUE_CAPACITY = 4096;
    // The store may have lost writes, so a starting node waits this long for a sync with another
    // node before it relies on the store alone.
    private static final Duration PEER_SYNC_TIMEOUT = Duration.ofSeconds(3);

    private final NodeSettings mSettings;
    private final DataPlane mData;
    private final NodeContext mContext;
    private final Mesh mMesh;
    private final StoreSync mStoreSync;
    private final EventLoop mEventLoop;
    private final long mStartNanos;
    private List<Member> mMembers = List.of();
    private Optional<ConfigRecord> mAppliedConfig = Optional.empty();
    private long mWarmUpEndNanos;
    private volatile String mNotReadyReason = "starting";

    private ControlPlane(NodeSettings settings, DataPlane data, PlatformStore store, String admin) {
        mSettings = settings;
        mData = data;
        mContext = data.context();
        mStartNanos = mContext.time().nanos();
        mMesh =
                Mesh.start(
                        MeshSettings.of(
                                        joiningMember(admin),
                                        new Signer(HexFormat.of().parseHex(settings.meshKey())))
                                .clock(mContext.clock())
                                .time(mContext.time()),
                        new MembershipEventRecorder(mContext.events()),
                        new ConfigEventRecorder(mContext.events()));
        mMesh.addSeeds(settings.seeds().stream().map(HostPort::toString).toList());
        mEventLoop =
                new EventLoop(
                        "control", QUEUE_CAPACITY, QUEUE_CAPACITY, () -> TICK_INTERVAL, this::tick);
        mStoreSync =
                new StoreSync(
                        settings,
                        store,
                        mMesh,
                        mContext.time(),
                        ThreadLocalRandom.current(),
                        mContext.events(),
                        mEventLoop::offerPriority);
    }

    static ControlPlane start(
            NodeSettings settings, DataPlane data, PlatformStore store, HostPort admin)
            throws NodeStartException {
        try {
            ControlPlane c = new ControlPlane(settings, data, store, admin.toString());
            c.mEventLoop.start();
            return c;
        } catch (MeshStartException e) {
            throw new NodeStartException(String.valueOf(e.getMessage()), e);
        }
    }

    private Member joiningMember(String admin) {
        return Member.joining(
                mData.identity(),
                mSettings.service(),
                new Member.Addresses(
                        mData.ingress().toString(), mSettings.control().toString(), admin),
                new Member.Location(mSettings.dataCentre(), mSettings.region()),
                mSettings.slots(),
                mContext.time().now().toEpochMilli());
    }

    Mesh mesh() {
        return mMesh;
    }

    /** Returns why the node does not accept calls, or an empty string if it does. */
    String notReadyReason() {
        return mNotReadyReason;
    }

    private void tick() {
        applyConfig();
        updateRouting();
        mStoreSync.tick();
        if (mContext.lifecycle() == Lifecycle.JOINING) {
            checkReadiness();
            return;
        }
        if (!mNotReadyReason.isEmpty() && isInOwnRoutingTable()) {
            mNotReadyReason = "";
        }
        if (mWarmUpEndNanos != 0 && mContext.time().nanos() - mWarmUpEndNanos >= 0) {
            mWarmUpEndNanos = 0;
            if (mContext.lifecycle() == Lifecycle.SERVING) {
                mMesh.setState(Member.State.SERVING);
            }
        }
    }

    private void applyConfig() {
        Optional<ConfigRecord> current = mMesh.config();
        if (current.equals(mAppliedConfig) || current.isEmpty()) {
            return;
        }
        mAppliedConfig = current;
        try {
            mData.apply(Azurestage.parse(current.get().document()));
        } catch (ConfigException e) {
            mContext.events()
                    .record(
                            EventType.CONFIG_REFUSED,
                            Map.of(
                                    "number",
                                    String.valueOf(current.get().number()),
                                    "reason",
                                    String.valueOf(e.getMessage())));
        }
    }

    private void updateRouting() {
        List<Member> members = mMesh.members();
        if (members == mMembers) {
            return;
        }
        mMembers = members;
        mData.updateEndpoints(
                members.stream()
                        .filter(m -> !m.isGone() && m.state() != Member.State.JOINING)
                        .map(ControlPlane::endpoint)
                        .toList());
    }

    private static Endpoint endpoint(Member m) {
        Endpoint.State state =
                switch (m.state()) {
                    case WARMING -> Endpoint.State.WARMING;
                    case SERVING -> Endpoint.State.SERVING;
                    default -> Endpoint.State.DRAINING;
                };
        return new Endpoint(
                m.node(),
                m.service(),
                m.addresses().ingress(),
                m.location().dataCentre(),
                m.location().region(),
                m.slots(),
                state,
                m.startedAtMillis());
    }

    private boolean isInOwnRoutingTable() {
        return mMembers.stream()
                .anyMatch(
                        m ->
                                m.node().equals(mData.identity())
                                        && m.state() != Member.State.JOINING);
    }

    private void checkReadiness() {
        ReadinessRule rule =
                ReadinessRule.of(
                        new ReadinessRule.Facts(
                                mStoreSync.hasReadStore(),
                                mContext.config() != null,
                                mMesh.isBehind(),
                                mMesh.syncedMembers(),
                                mMesh.knownMembers()));
        if (rule instanceof ReadinessRule.NotReady notReady) {
            mNotReadyReason = notReady.reason();
            return;
        }
        boolean timedOut = mContext.time().nanos() - mStartNanos > PEER_SYNC_TIMEOUT.toNanos();
        if (mStoreSync.hasSeeds() && mMesh.syncedMembers() == 0 && !timedOut) {
            mNotReadyReason = "no other node has been heard yet";
            return;
        }
        // Until the node routes to itself, callers could be told that its service has no server.
        mNotReadyReason = "the node is not yet in its own routing table";
        mStoreSync.onServing();
        mData.serve();
        mWarmUpEndNanos =
                mContext.time().nanos() + Duration.ofMillis(mSettings.warmUpMillis()).toNanos();
        mMesh.setState(Member.State.WARMING);
    }

    @Override
    public void close() {
        mEventLoop.close();
        mStoreSync.close();
        mMesh.close();
    }
}
