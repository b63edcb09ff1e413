package io.azurestage.node;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.event.EventType;
import io.azurestage.core.membership.Member;
import io.azurestage.core.time.TimeSource;
import io.azurestage.mesh.MeshStats;
import io.azurestage.store.EtcdStore;
import io.azurestage.store.PlatformStore;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A running node: its data plane, control plane and admin endpoint.
 *
 * <p>Example:
 *
 * <pre>{@code
 * Node node = Node.start(SettingsLoader.load(Path.of("node.json")));
 * node.drain();
 * node.awaitStopped();
 * }</pre>
 */
public final class Node implements AutoCloseable {
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);
    private static final long DRAIN_POLL_MILLIS = 20;
    // Time to send the LEFT state to other nodes before the control sockets close.
    private static final long LEFT_ANNOUNCEMENT_MILLIS = 200;

    private final NodeSettings mSettings;
    private final DataPlane mData;
    private final ControlPlane mControl;
    private final AdminServer mAdmin;
    private final HostPort mAdminAddress;
    private final AtomicBoolean mDraining = new AtomicBoolean();
    private final CountDownLatch mStopped = new CountDownLatch(1);

    private Node(
            NodeSettings settings,
            DataPlane data,
            ControlPlane control,
            AdminServer admin,
            HostPort adminAddress) {
        mSettings = settings;
        mData = data;
        mControl = control;
        mAdmin = admin;
        mAdminAddress = adminAddress;
    }

    /**
     * Starts a node. It accepts calls once it has a configuration.
     *
     * @param settings checked settings
     * @return the running node
     * @throws NodeStartException if a port cannot be opened or a server cannot be started
     */
    public static Node start(NodeSettings settings) throws NodeStartException {
        PlatformStore store =
                EtcdStore.connect(
                        settings.store().stream().map(a -> URI.create("http://" + a)).toList(),
                        STORE_TIMEOUT);
        return start(settings, TimeSource.system(), store);
    }

    static Node start(NodeSettings settings, TimeSource time, PlatformStore store)
            throws NodeStartException {
        ClientBounds bounds = ClientBounds.ofProcess(time);
        AdminServer admin = new AdminServer(settings.admin(), bounds);
        DataPlane data = null;
        try {
            HostPort adminAddress = admin.open();
            data = DataPlane.start(settings, time, new EventSink(), bounds);
            ControlPlane control = ControlPlane.start(settings, data, store, adminAddress);
            Node node = new Node(settings, data, control, admin, adminAddress);
            node.startAdmin();
            return node;
        } catch (NodeStartException e) {
            admin.stop();
            if (data != null) {
                data.close();
            }
            store.close();
            throw e;
        }
    }

    private void startAdmin() throws NodeStartException {
        registerGauges();
        mAdmin.start(
                new AdminHandler(
                        mSettings,
                        mControl,
                        new StatusReport(mSettings, mData, mControl),
                        new EventReport(mSettings.nodeId(), mData.context().events()),
                        mData.context().metrics().registry(),
                        this::drain,
                        mData.context().bounds()));
    }

    private void registerGauges() {
        NodeMetrics m = mData.context().metrics();
        AdmissionLoop a = mData.admission();
        m.gauge("azurestage_limit", "concurrency limit in force", () -> a.status().limit());
        m.gauge("azurestage_in_flight", "requests running", () -> a.status().inFlight());
        m.gauge("azurestage_queued", "requests waiting for a slot", () -> a.status().queued());
        m.gauge("azurestage_in_progress", "calls in progress, in and out", mData::inProgress);
        m.gauge(
                "azurestage_config_number",
                "configuration version in force",
                () -> mControl.mesh().config().map(c -> c.number()).orElse(0L));
        m.gauge("azurestage_members", "members alive", () -> mControl.mesh().knownMembers() + 1);
        m.gauge(
                "azurestage_control_bytes_sent",
                "bytes of control messages sent",
                () -> mControl.mesh().stats().bytesSent());
        m.gauge(
                "azurestage_control_bytes_received",
                "bytes of control messages received",
                () -> mControl.mesh().stats().bytesReceived());
        m.gauge(
                "azurestage_events_dropped",
                "events dropped because the log was full",
                () -> mData.context().events().dropped());
    }

    /**
     * Returns this node's identity.
     *
     * @return node id and incarnation
     */
    public NodeIdentity identity() {
        return mData.identity();
    }

    /**
     * Returns the address where callers and other nodes connect.
     *
     * @return the address with the bound port
     */
    public HostPort ingress() {
        return mData.ingress();
    }

    /**
     * Returns the address where the backend server connects.
     *
     * @return the address with the bound port
     */
    public HostPort egress() {
        return mData.egress();
    }

    /**
     * Returns the address where operators connect.
     *
     * @return the address with the bound port
     */
    public HostPort admin() {
        return mAdminAddress;
    }

    /**
     * Returns the address for control messages.
     *
     * @return the address with the bound port
     */
    public HostPort control() {
        return HostPort.parse(mControl.mesh().self().addresses().control());
    }

    /**
     * Reports whether the node is ready to accept calls.
     *
     * @return false until a configuration is in force
     */
    public boolean isReady() {
        return mControl.notReadyReason().isEmpty();
    }

    /**
     * Returns the number of the configuration version in force.
     *
     * @return the number, 0 if there is none
     */
    public long configNumber() {
        return mControl.mesh().config().map(c -> c.number()).orElse(0L);
    }

    /**
     * Returns the number of members that this node considers alive, including itself.
     *
     * @return the number of members, at least 1
     */
    public int aliveMembers() {
        return mControl.mesh().knownMembers() + 1;
    }

    /**
     * Returns the counters of control messages.
     *
     * @return counters since the node was started
     */
    public MeshStats meshStats() {
        return mControl.mesh().stats();
    }

    /**
     * Starts a graceful shutdown: announces it to the other nodes, refuses new requests after the
     * grace period of the settings, waits for requests in progress, and stops. Returns immediately;
     * further calls have no effect.
     */
    public void drain() {
        if (!mDraining.compareAndSet(false, true)) {
            return;
        }
        Thread t = new Thread(this::drainAndClose, "drain");
        t.setDaemon(true);
        t.start();
    }

    private void drainAndClose() {
        try {
            mData.leave();
            mControl.mesh().setState(Member.State.DRAINING);
            TimeUnit.MILLISECONDS.sleep(mSettings.drainGraceMillis());
            mData.drain();
            long deadline =
                    System.nanoTime()
                            + TimeUnit.MILLISECONDS.toNanos(mSettings.maxDeadlineMillis());
            while (mData.inProgress() > 0 && System.nanoTime() - deadline < 0) {
                TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MILLIS);
            }
            mControl.mesh().setState(Member.State.LEFT);
            TimeUnit.MILLISECONDS.sleep(LEFT_ANNOUNCEMENT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
    }

    /**
     * Waits until the node has stopped.
     *
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public void awaitStopped() throws InterruptedException {
        mStopped.await();
    }

    /** Stops immediately and aborts requests in progress. See {@link #drain} to stop gracefully. */
    @Override
    public void close() {
        if (mStopped.getCount() == 0) {
            return;
        }
        mData.context().events().record(EventType.NODE_STOPPED, Map.of());
        mAdmin.stop();
        mControl.close();
        mData.close();
        mStopped.countDown();
    }
}
