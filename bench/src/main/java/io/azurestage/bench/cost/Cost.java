package io.azurestage.bench.cost;

import io.azurestage.bench.cost.NodeProcess.Usage;
import io.azurestage.core.time.TimeSource;
import io.azurestage.relay.http.Field;
import io.azurestage.relay.http.HttpPool;
import io.azurestage.relay.http.OutboundRequest;
import io.azurestage.relay.http.ResponseFilter;
import io.azurestage.relay.http.Sockets;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Measures the cost of a call at two nodes that run as in a deployment. Each client request enters
 * at the first node and runs at the second node's server, which makes one call back. So for each
 * request, each of the two nodes is the entry of one call and the owner of the other.
 */
public final class Cost {
    /** Rate in requests per second at which the figures of a warm node are reported. */
    private static final int WARM_RATE_PER_SECOND = 100;

    private static final int[] RATES_PER_SECOND = {5, 25, 100, 200, 400};
    private static final Duration STEP_TIME = Duration.ofSeconds(8);
    private static final Duration WARM_UP = Duration.ofSeconds(20);
    private static final Duration SERVICE_TIME = Duration.ofMillis(60);
    private static final Duration START_LIMIT = Duration.ofSeconds(30);
    private static final int CALLS_PER_REQUEST = 2;
    private static final int NODES = 2;
    private static final int PORTS_PER_NODE = 5;
    private static final int SLOTS = 157;
    private static final String CONFIG =
            """
            {"version":"r1","routes":[
            {"name":"front","host":"h","prefix":"/b/","routeType":"safe","priority":1,
             "maxAttempts":2,"timeout":"5s","targetLatency":"1s","service":"b"},
            {"name":"inner","host":"h","prefix":"/a/","routeType":"safe","priority":1,
             "maxAttempts":2,"timeout":"5s","targetLatency":"1s","service":"a"}]}""";
    private static final String SETTINGS =
            """
            {"nodeId":"%s","dataCentre":"d","region":"r","service":"%s","entry":"127.0.0.1:%d",
             "readiness":"127.0.0.1:%d","heartbeats":"127.0.0.1:%d","linkPorts":[%d,%d],
             "heartbeat":"1500ms","bounds":{},"store":{"address":"127.0.0.1:%d"}}""";

    private final List<String> mFlags;
    private final List<NodeProcess> mNodes = new ArrayList<>();
    private final Map<String, Object> mFigures = new LinkedHashMap<>();
    private MultiThreadIoEventLoopGroup mGroup;

    /**
     * Creates a measurement.
     *
     * @param flags extra JVM flags for the nodes, for example those of a profiler
     */
    public Cost(List<String> flags) {
        mFlags = List.copyOf(flags);
    }

    /**
     * Runs the measurement, which takes about two minutes.
     *
     * @return figures by name; times are CPU time in milliseconds
     * @throws IllegalStateException if a node cannot be started or no request is served within 30 s
     */
    public Map<String, Object> run() {
        mGroup = Sockets.eventLoop("stand-ins");
        try {
            measure();
        } catch (IOException e) {
            throw new IllegalStateException("cannot prepare the cost measurement: " + e, e);
        } finally {
            mNodes.forEach(NodeProcess::close);
            mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        return mFigures;
    }

    private void measure() throws IOException {
        Path folder = Files.createTempDirectory("azurestage-cost");
        CostStore store = new CostStore(mGroup);
        store.put("op/config", CONFIG);
        CostServer inner = new CostServer(mGroup, SERVICE_TIME);
        CostServer front = new CostServer(mGroup, SERVICE_TIME);
        int[] ports = freePorts(NODES * PORTS_PER_NODE);
        InetSocketAddress first = startNode(folder, "first", "a", inner, store, ports, 0);
        InetSocketAddress second =
                startNode(folder, "second", "b", front, store, ports, PORTS_PER_NODE);
        front.callsAt(second, "h");
        EventLoop loop = (EventLoop) mGroup.next();
        CostLoad load = new CostLoad(loop, first, "h");
        awaitService(load);
        load.reset();
        Usage start = usage();
        measureStep(load, "cold", WARM_RATE_PER_SECOND, WARM_UP);
        for (int rate : RATES_PER_SECOND) {
            measureStep(load, rate * CALLS_PER_REQUEST + "_calls", rate, STEP_TIME);
        }
        measureStep(load, "warm", WARM_RATE_PER_SECOND, WARM_UP);
        measureIdle();
        mFigures.put("start_cpu_ms_per_node", round(start.cpuSeconds() * 1_000 / NODES));
        mFigures.put("peak_kib_per_node", usage().residentKib() / NODES);
        mFigures.put("served", load.served());
        mFigures.put("failed", load.failed());
        mFigures.put("cpu_ms_per_call", mFigures.get("warm_cpu_ms_per_call"));
    }

    private InetSocketAddress startNode(
            Path folder,
            String name,
            String service,
            CostServer server,
            CostStore store,
            int[] ports,
            int firstPort) {
        String settings =
                SETTINGS.formatted(
                        name,
                        service,
                        ports[firstPort],
                        ports[firstPort + 1],
                        ports[firstPort + 2],
                        ports[firstPort + 3],
                        ports[firstPort + 4],
                        store.address().getPort());
        mNodes.add(new NodeProcess(folder, name, settings, mFlags));
        startHeartbeats(
                new InetSocketAddress("127.0.0.1", ports[firstPort + 2]), service, server.port());
        return new InetSocketAddress("127.0.0.1", ports[firstPort]);
    }

    private void startHeartbeats(InetSocketAddress node, String service, int port) {
        HttpPool pool =
                new HttpPool(
                        (EventLoop) mGroup.next(),
                        TimeSource.system(),
                        node,
                        Duration.ofSeconds(1));
        long startedAtMillis = System.currentTimeMillis();
        long[] sequence = new long[1];
        Runnable sendHeartbeat =
                () -> {
                    String body =
                            """
                            {"service":"%s","address":"127.0.0.1:%d","zone":"d","version":"v1",
                             "slots":%d,"state":"ready","coldRemaining":"0ms","sequence":%d,
                             "born":%d}"""
                                    .formatted(
                                            service, port, SLOTS, ++sequence[0], startedAtMillis);
                    pool.send(heartbeatRequest(service, body), result -> {});
                };
        mGroup.scheduleAtFixedRate(sendHeartbeat, 0, 1_500, TimeUnit.MILLISECONDS);
    }

    private static OutboundRequest heartbeatRequest(String service, String body) {
        return new OutboundRequest(
                "POST",
                "/-/Instances.Heartbeat/server-" + service,
                "node",
                List.of(new Field("Content-Type", "application/json")),
                body.getBytes(StandardCharsets.UTF_8),
                Duration.ofSeconds(1),
                false,
                ResponseFilter.ANY);
    }

    private void awaitService(CostLoad load) {
        long end = System.nanoTime() + START_LIMIT.toNanos();
        while (load.served() == 0) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("no request was served within " + START_LIMIT);
            }
            load.run(WARM_RATE_PER_SECOND, Duration.ofMillis(100));
        }
    }

    private void measureStep(CostLoad load, String name, int perSecond, Duration length) {
        Usage before = usage();
        int served = load.served();
        load.run(perSecond, length);
        LockSupport.parkNanos(Duration.ofMillis(500).toNanos());
        Usage used = usage().minus(before);
        double calls = Math.max(1, load.served() - served) * CALLS_PER_REQUEST;
        double atNodes = calls * NODES;
        mFigures.put(name + "_cpu_ms_per_call", round(used.cpuSeconds() * 1_000 / atNodes));
        mFigures.put(name + "_switches_per_call", round(used.switches() / atNodes));
        mFigures.put(name + "_log_lines", used.logLines());
        System.err.println(name + ": " + used + ", calls " + (long) calls);
    }

    private void measureIdle() {
        LockSupport.parkNanos(Duration.ofSeconds(2).toNanos());
        Usage before = usage();
        LockSupport.parkNanos(STEP_TIME.toNanos());
        Usage used = usage().minus(before);
        double nodeSeconds = STEP_TIME.toSeconds() * NODES;
        mFigures.put("idle_wakeups_per_s", round(used.switches() / nodeSeconds));
        mFigures.put("idle_cpu_ms_per_s", round(used.cpuSeconds() * 1_000 / nodeSeconds));
    }

    private Usage usage() {
        return mNodes.stream()
                .map(NodeProcess::usage)
                .reduce(Usage::plus)
                .orElseThrow(() -> new IllegalStateException("no node was started"));
    }

    private static double round(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }

    private static int[] freePorts(int count) throws IOException {
        List<ServerSocket> open = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                open.add(new ServerSocket(0));
            }
            return open.stream().mapToInt(ServerSocket::getLocalPort).toArray();
        } finally {
            for (ServerSocket s : open) {
                s.close();
            }
        }
    }
}
