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
 * One running node.
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
    private static final long POLL_MILLIS = 20;
    // Time for the announcement that the node has left to be sent.
    private static final long LEAVE_MILLIS = 200;

    private final NodeSettings mSettings;
    private final DataPlane mData;
    private final ControlPlane mControl;
    private final AdminServer mAdmin;
    private final HostPort mAdminAddress;
    private final AtomicBoolean mLeaving = new AtomicBoolean();
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
     * Starts a node. It serves once it has a configuration.
     *
     * @param settings checked settings
     * @return the running node
     * @throws NodeStartException if a port cannot be opened
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
        AdminServer admin = new AdminServer(settings.admin());
        DataPlane data = null;
        try {
            HostPort adminAddress = admin.open();
            data = DataPlane.start(settings, time, new EventSink());
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
                        new EventReport(mSettings.nodeId(), mData.shared().events()),
                        mData.shared().metrics().registry(),
                        this::drain));
    }

    private void registerGauges() {
        NodeMetrics m = mData.shared().metrics();
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
                () -> mData.shared().events().dropped());
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
     * @return the address with the real port
     */
    public HostPort ingress() {
        return mData.ingress();
    }

    /**
     * Returns the address where the backend server connects.
     *
     * @return the address with the real port
     */
    public HostPort egress() {
        return mData.egress();
    }

    /**
     * Returns the address where operators connect.
     *
     * @return the address with the real port
     */
    public HostPort admin() {
        return mAdminAddress;
    }

    /**
     * Returns the address for control messages.
     *
     * @return the address with the real port
     */
    public HostPort control() {
        return HostPort.parse(mControl.mesh().self().addresses().control());
    }

    /**
     * Reports whether the node serves.
     *
     * @return false until a configuration is in force
     */
    public boolean isReady() {
        return mControl.notReady().isEmpty();
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
     * Returns how many members are alive as this node sees it, itself included.
     *
     * @return a count
     */
    public int aliveMembers() {
        return mControl.mesh().knownMembers() + 1;
    }

    /**
     * Returns the counters of the control messages.
     *
     * @return counters since the start
     */
    public MeshStats controlStats() {
        return mControl.mesh().stats();
    }

    /**
     * Starts to leave: tells the others, takes no new work after the grace time of the settings,
     * finishes what is in progress, and stops. Returns at once; calling it again does nothing.
     */
    public void drain() {
        if (!mLeaving.compareAndSet(false, true)) {
            return;
        }
        Thread t = new Thread(this::leave, "drain");
        t.setDaemon(true);
        t.start();
    }

    private void leave() {
        try {
            mData.leave();
            mControl.mesh().setState(Member.State.DRAINING);
            TimeUnit.MILLISECONDS.sleep(mSettings.drainGraceMillis());
            mData.drain();
            long end =
                    System.nanoTime()
                            + TimeUnit.MILLISECONDS.toNanos(mSettings.maxDeadlineMillis());
            while (mData.inProgress() > 0 && System.nanoTime() - end < 0) {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
            mControl.mesh().setState(Member.State.LEFT);
            TimeUnit.MILLISECONDS.sleep(LEAVE_MILLIS);
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

    /** Stops at once and cuts off what is in progress. Use {@link #drain} for a clean end. */
    @Override
    public void close() {
        if (mStopped.getCount() == 0) {
            return;
        }
        mData.shared().events().record(EventType.NODE_STOPPED, Map.of());
        mAdmin.stop();
        mControl.close();
        mData.close();
        mStopped.countDown();
    }
}
