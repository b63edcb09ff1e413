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

/** Membership, configuration and readiness of a node. Drives the data plane. */
final class ControlPlane implements AutoCloseable {
    private static final Duration TICK = Duration.ofMillis(100);
    private static final int RING = 4096;
    // A store that has lost writes must not be believed before another node was heard.
    private static final Duration PEER_WAIT = Duration.ofSeconds(3);

    private final NodeSettings mSettings;
    private final DataPlane mData;
    private final Shared mShared;
    private final Mesh mMesh;
    private final StoreSync mStore;
    private final EventLoop mDuty;
    private final long mStart;
    private List<Member> mMembers = List.of();
    private Optional<ConfigRecord> mApplied = Optional.empty();
    private long mWarmUntil;
    private volatile String mNotReady = "starting";

    private ControlPlane(NodeSettings settings, DataPlane data, PlatformStore store, String admin) {
        mSettings = settings;
        mData = data;
        mShared = data.shared();
        mStart = mShared.time().nanos();
        mMesh =
                Mesh.start(
                        MeshSettings.of(
                                        self(admin),
                                        new Signer(HexFormat.of().parseHex(settings.meshKey())))
                                .clock(mShared.clock())
                                .time(mShared.time()),
                        new MembershipEventRecorder(mShared.events()),
                        new ConfigEventRecorder(mShared.events()));
        mMesh.addSeeds(settings.seeds().stream().map(HostPort::toString).toList());
        mDuty = new EventLoop("control", RING, RING, () -> TICK, this::tick);
        mStore =
                new StoreSync(
                        settings,
                        store,
                        mMesh,
                        mShared.time(),
                        ThreadLocalRandom.current(),
                        mShared.events(),
                        mDuty::offerPriority);
    }

    static ControlPlane start(
            NodeSettings settings, DataPlane data, PlatformStore store, HostPort admin)
            throws NodeStartException {
        try {
            ControlPlane c = new ControlPlane(settings, data, store, admin.toString());
            c.mDuty.start();
            return c;
        } catch (MeshStartException e) {
            throw new NodeStartException(String.valueOf(e.getMessage()), e);
        }
    }

    private Member self(String admin) {
        return Member.joining(
                mData.identity(),
                mSettings.service(),
                new Member.Addresses(
                        mData.ingress().toString(), mSettings.control().toString(), admin),
                new Member.Location(mSettings.dataCentre(), mSettings.region()),
                mSettings.slots(),
                mShared.time().now().toEpochMilli());
    }

    Mesh mesh() {
        return mMesh;
    }

    /** Why the node does not serve, empty once it does. */
    String notReady() {
        return mNotReady;
    }

    private void tick() {
        applyConfig();
        updateRouting();
        mStore.tick();
        if (mShared.lifecycle() == Lifecycle.JOINING) {
            checkReadiness();
            return;
        }
        if (!mNotReady.isEmpty() && isRouted()) {
            mNotReady = "";
        }
        if (mWarmUntil != 0 && mShared.time().nanos() - mWarmUntil >= 0) {
            mWarmUntil = 0;
            if (mShared.lifecycle() == Lifecycle.SERVING) {
                mMesh.setState(Member.State.SERVING);
            }
        }
    }

    private void applyConfig() {
        Optional<ConfigRecord> current = mMesh.config();
        if (current.equals(mApplied) || current.isEmpty()) {
            return;
        }
        mApplied = current;
        try {
            mData.apply(Azurestage.parse(current.get().document()));
        } catch (ConfigException e) {
            mShared.events()
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
        mData.endpoints(
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

    private boolean isRouted() {
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
                                mStore.isRead(),
                                mShared.config() != null,
                                mMesh.isBehind(),
                                mMesh.syncedMembers(),
                                mMesh.knownMembers()));
        if (rule instanceof ReadinessRule.NotReady notReady) {
            mNotReady = notReady.reason();
            return;
        }
        boolean waited = mShared.time().nanos() - mStart > PEER_WAIT.toNanos();
        if (mStore.hasSeeds() && mMesh.syncedMembers() == 0 && !waited) {
            mNotReady = "no other node has been heard yet";
            return;
        }
        // Until then a caller would hear that no backend server of this node's service is known.
        mNotReady = "the node is not yet in its own routing table";
        mStore.serving();
        mData.serve();
        mWarmUntil = mShared.time().nanos() + Duration.ofMillis(mSettings.warmUpMillis()).toNanos();
        mMesh.setState(Member.State.WARMING);
    }

    @Override
    public void close() {
        mDuty.close();
        mStore.close();
        mMesh.close();
    }
}
