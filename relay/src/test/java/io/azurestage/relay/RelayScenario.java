package io.azurestage.relay;

import io.azurestage.core.backend.Heartbeat;
import io.azurestage.core.event.EventLog;
import io.azurestage.core.memory.DescriptorLimit;
import io.azurestage.core.partner.PartnerDirectory;
import io.azurestage.core.quota.QuotaBounds;
import io.azurestage.core.route.RequestLimits;
import io.azurestage.core.route.Route;
import io.azurestage.core.route.RouteTarget;
import io.azurestage.core.route.TrafficConfig;
import io.azurestage.core.time.HybridClock;
import io.azurestage.core.time.TimeSource;
import io.azurestage.relay.fleet.ConfigFeed;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;

/** Starts nodes with a store, a backend server and raw requests, for the tests of a node. */
abstract class RelayScenario {
    static final HeaderNames NAMES =
            new HeaderNames(
                    "Id",
                    "Left-Ms",
                    "Server",
                    "Not-Run",
                    "Signed",
                    "Caller",
                    "Credential",
                    "Key",
                    "Partner",
                    "Limit",
                    "Leaving");
    static final QuotaBounds QUOTA_BOUNDS = new QuotaBounds(Duration.ofSeconds(5), 0.1, 20);
    static final Duration ROUTE_TIMEOUT = Duration.ofMillis(600);

    private static final int LAST_PORT = 32_000;
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger(20_000 + (int) (ProcessHandle.current().pid() % 100) * 100);

    final Loop mLoop = new Loop();
    final MapStore mStore = new MapStore();
    final List<AutoCloseable> mCloseables = new ArrayList<>();
    final HttpClient mClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    final List<Relay> mRelays = new ArrayList<>();
    final List<String> mEvents = new CopyOnWriteArrayList<>();
    final List<RelayMetrics> mMetrics = new ArrayList<>();
    int mLeftMillis = 5_000;
    Duration mStopTime = Duration.ofSeconds(3);
    ConfigFeed.Decoder mDecoder = RelayScenario::decode;
    RawServer mServer;
    private long mSequence;

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable c : mCloseables) {
            c.close();
        }
        mLoop.close();
    }

    /** Returns one idempotent and one non-idempotent route, both to the service "books". */
    static TrafficConfig decode(byte[] document) {
        List<RouteTarget> books = List.of(new RouteTarget("books", 1));
        Duration latencyTarget = Duration.ofMillis(300);
        return new TrafficConfig(
                document[0],
                List.of(
                        new Route(
                                "read",
                                "h",
                                "/r/",
                                true,
                                2,
                                2,
                                ROUTE_TIMEOUT,
                                latencyTarget,
                                false,
                                books),
                        new Route(
                                "write",
                                "h",
                                "/w/",
                                false,
                                0,
                                2,
                                ROUTE_TIMEOUT,
                                latencyTarget,
                                false,
                                books)),
                RequestLimits.defaults(),
                PartnerDirectory.EMPTY);
    }

    /**
     * Returns an address whose port is below those that the system gives to outgoing connections,
     * so that no connection takes it before the node listens.
     */
    static InetSocketAddress freeAddress() {
        while (true) {
            int port = NEXT_PORT.getAndIncrement();
            try (ServerSocket s = new ServerSocket(port)) {
                return new InetSocketAddress("127.0.0.1", s.getLocalPort());
            } catch (IOException e) {
                if (port >= LAST_PORT) {
                    throw new UncheckedIOException("no port below " + LAST_PORT + " is free", e);
                }
            }
        }
    }

    InetSocketAddress startNode(String id, String service) throws Exception {
        InetSocketAddress entry = freeAddress();
        RelaySettings settings =
                new RelaySettings(
                        id,
                        "dc",
                        "region",
                        service,
                        entry,
                        freeAddress(),
                        Duration.ofMillis(1_500),
                        Duration.ofSeconds(2),
                        mStopTime,
                        0.2,
                        48,
                        Duration.ofSeconds(10),
                        QUOTA_BOUNDS,
                        DescriptorLimit.ofProcess());
        RelayMetrics metrics = new RelayMetrics();
        mMetrics.add(metrics);
        TimeSource time = TimeSource.system();
        EventLog events =
                new EventLog(id, new HybridClock(time), 100, e -> mEvents.add(e.toString()));
        PlatformPort port = new PlatformPort(NAMES, mStore, "op/", "op/config", mDecoder);
        mRelays.add(Relay.start(settings, port, mLoop.group(), events, metrics, time));
        return entry;
    }

    void heartbeat(int relay, String service, RawServer server, boolean draining) throws Exception {
        Heartbeat h =
                new Heartbeat(
                        "server-" + relay,
                        1 + relay,
                        service,
                        server.address(),
                        10,
                        draining,
                        Duration.ZERO,
                        ++mSequence);
        mLoop.run(() -> mRelays.get(relay).onHeartbeat(h, () -> {}));
    }

    /** Starts two nodes: callers use the first one, and the server runs beside the second one. */
    InetSocketAddress startNodes(RawServer.Script script) throws Exception {
        mStore.put("op/config", new byte[] {1});
        InetSocketAddress entry = startNode("caller", "desk");
        startNode("owner", "books");
        RawServer server = new RawServer(script);
        mCloseables.add(server);
        mServer = server;
        Loop.await("the configuration is stored", () -> mStore.has("op/config"));
        Loop.await(
                "the store holds the entry of the server",
                () -> {
                    try {
                        heartbeat(1, "books", server, false);
                    } catch (Exception e) {
                        throw new AssertionError(e);
                    }
                    return !mStore.keys("azurestage/nodes/").isEmpty();
                });
        Loop.await("the caller's node is ready", () -> mRelays.get(0).isReady());
        return entry;
    }

    HttpRequest.Builder request(InetSocketAddress entry, String target) {
        // The client sets the Host header from the address, which matches no route.
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.getPort() + target))
                .header("Id", "request-1")
                .header("Left-Ms", "5000")
                .header("Caller", "forged")
                .timeout(Duration.ofSeconds(10));
    }

    HttpResponse<String> send(HttpRequest.Builder r) throws Exception {
        return mClient.send(r.build(), HttpResponse.BodyHandlers.ofString());
    }

    RawReply sendRaw(InetSocketAddress entry, String method, String target, String body)
            throws IOException {
        return sendRaw(entry, method, target, "", body);
    }

    /** Sends a request with further header lines, each with its line end. */
    RawReply sendRaw(
            InetSocketAddress entry, String method, String target, String lines, String body)
            throws IOException {
        return sendRaw(entry, "request-1", method, target, lines, body);
    }

    /** Sends a request under an id of its own. */
    RawReply sendRaw(
            InetSocketAddress entry,
            String id,
            String method,
            String target,
            String lines,
            String body)
            throws IOException {
        try (Socket s = new Socket("127.0.0.1", entry.getPort())) {
            s.setSoTimeout(10_000);
            s.getOutputStream()
                    .write(
                            RawServer.text(
                                    method
                                            + " "
                                            + target
                                            + " HTTP/1.1\r\nHost: h\r\nId: "
                                            + id
                                            + "\r\nLeft-Ms: "
                                            + mLeftMillis
                                            + "\r\nCaller: forged\r\n"
                                            + lines
                                            + "Connection: close\r\nContent-Length: "
                                            + body.length()
                                            + "\r\n\r\n"
                                            + body));
            String all = new String(s.getInputStream().readAllBytes());
            int end = all.indexOf("\r\n\r\n");
            return new RawReply(
                    Integer.parseInt(all.substring(9, 12)),
                    all.substring(0, end),
                    all.substring(end + 4));
        }
    }

    record RawReply(int status, String head, String body) {}
}
