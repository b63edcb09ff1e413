package io.azurestage.node;

import io.azurestage.config.Azurestage;
import io.azurestage.config.ConfigBuilder;
import io.azurestage.config.MeshConfig;
import io.azurestage.core.routing.Endpoint;
import io.azurestage.core.time.TimeSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http2.client.HTTP2Client;
import org.eclipse.jetty.http2.client.transport.HttpClientTransportOverHTTP2;

/** Data planes with fake backend servers for the service chain a, b, c, on loopback. */
final class TestMesh implements AutoCloseable {
    static final String CREDENTIAL = "credential of the hire house";
    static final List<String> CHAIN = List.of("a", "b", "c");

    private final List<FakeBackend> mBackends = new ArrayList<>();
    private final List<DataPlane> mNodes = new ArrayList<>();
    private final HttpClient mClient = new HttpClient();
    private final HttpClient mHttp2 =
            new HttpClient(new HttpClientTransportOverHTTP2(new HTTP2Client()));
    private final List<Endpoint> mEndpoints = new ArrayList<>();
    private final int mRetryAllowance;
    private MeshConfig mConfig;
    private final Environment mEnvironment;

    TestMesh() throws Exception {
        this(TimeSource.system(), 3);
    }

    /** The time source and the address of each node. */
    interface Environment {
        TimeSource time(String nodeId);

        /** Returns the address at which other nodes reach a node. */
        default HostPort address(String nodeId, HostPort real) throws Exception {
            return real;
        }

        /** Returns the bounds of the clients of a node. */
        default ClientBounds bounds(String nodeId) {
            return TestMesh.bounds();
        }
    }

    TestMesh(TimeSource time, int retryAllowance) throws Exception {
        this(nodeId -> time, retryAllowance);
    }

    TestMesh(Environment environment, int retryAllowance) throws Exception {
        mEnvironment = environment;
        mRetryAllowance = retryAllowance;
        mConfig = config(retryAllowance, 60);
        mClient.start();
        mHttp2.start();
        for (int i = 0; i < CHAIN.size(); i++) {
            add(CHAIN.get(i), i + 1 < CHAIN.size() ? CHAIN.get(i + 1) : "");
        }
    }

    static MeshConfig config(int retryAllowance, int share) {
        ConfigBuilder b =
                Azurestage.config()
                        .retryAllowance(retryAllowance)
                        .partner("hire", p -> p.share(share).credential(CREDENTIAL))
                        .partner("die", p -> p.share(100 - share).credential("another credential"));
        for (String s : CHAIN) {
            b.service(s, x -> x.critical("POST", "/advances").normal("GET", "/bookings"));
        }
        return b.build();
    }

    FakeBackend backend(int i) {
        return mBackends.get(i);
    }

    DataPlane node(int i) {
        return mNodes.get(i);
    }

    List<DataPlane> nodes() {
        return List.copyOf(mNodes);
    }

    DataPlane add(String service, String next) throws Exception {
        FakeBackend backend = new FakeBackend(service, next);
        String id = "node-" + mNodes.size();
        DataPlane node =
                DataPlane.start(
                        settings(id, service, backend.address()),
                        mEnvironment.time(id),
                        e -> {},
                        mEnvironment.bounds(id));
        backend.egress(node.egress());
        mBackends.add(backend);
        mNodes.add(node);
        mEndpoints.add(
                new Endpoint(
                        node.identity(),
                        service,
                        mEnvironment.address(id, node.ingress()).toString(),
                        "dc1",
                        "r1",
                        8,
                        Endpoint.State.SERVING,
                        0));
        publish();
        return node;
    }

    private void publish() {
        for (DataPlane n : mNodes) {
            n.apply(mConfig);
            n.serve();
            n.updateEndpoints(mEndpoints);
        }
    }

    /** Applies a configuration with another share of the partner hire at all nodes. */
    void push(int share) {
        mConfig = config(mRetryAllowance, share);
        mNodes.forEach(n -> n.apply(mConfig));
    }

    /** Starts to drain a node and updates the routing of all nodes. */
    void drain(int i) {
        Endpoint e = mEndpoints.get(i);
        mEndpoints.set(
                i,
                new Endpoint(
                        e.node(),
                        e.service(),
                        e.address(),
                        e.dataCentre(),
                        e.region(),
                        e.slots(),
                        Endpoint.State.DRAINING,
                        e.startedAtMillis()));
        mNodes.get(i).leave();
        mNodes.forEach(n -> n.updateEndpoints(mEndpoints));
        mNodes.get(i).drain();
    }

    static ClientBounds bounds() {
        return ClientBounds.ofProcess(TimeSource.system());
    }

    static NodeSettings settings(String nodeId, String service, HostPort backend)
            throws SettingsException {
        return settings(nodeId, service, backend, 0);
    }

    static NodeSettings settings(String nodeId, String service, HostPort backend, int ingress)
            throws SettingsException {
        String anyPort = "{\"host\":\"127.0.0.1\",\"port\":0}";
        return SettingsLoader.parse(
                """
                {"nodeId":"%s","service":"%s","dataCentre":"dc1","region":"r1","slots":8,
                 "connectionLimit":32,"backend":{"host":"%s","port":%d},
                 "ingress":{"host":"127.0.0.1","port":%d},
                 "egress":%s,"control":%s,"admin":%s,
                 "meshKey":"000102030405060708090a0b0c0d0e0f","store":[%s]}
                """
                        .formatted(
                                nodeId,
                                service,
                                backend.host(),
                                backend.port(),
                                ingress,
                                anyPort,
                                anyPort,
                                anyPort,
                                anyPort),
                "test");
    }

    Request request(DataPlane entry, String method, String path) {
        return request(mClient, entry, method, path);
    }

    /** Creates an HTTP/2 request, whose abort the node learns of at once from a stream reset. */
    Request http2(DataPlane entry, String method, String path) {
        return request(mHttp2, entry, method, path);
    }

    /** Makes a request an advance by adding a ticket and a body. */
    Request advance(Request r, String ticket) {
        return r.headers(h -> h.put(Headers.IDEMPOTENCY_KEY, ticket))
                .body(new StringRequestContent("10 rupees"));
    }

    static CompletableFuture<ContentResponse> start(Request r) {
        return new CompletableResponseListener(r, 16 << 20).send();
    }

    static ContentResponse get(CompletableFuture<ContentResponse> f) throws Exception {
        return f.get(20, TimeUnit.SECONDS);
    }

    /** Waits until no node has calls in progress or requests queued. */
    void awaitIdle() {
        for (DataPlane n : mNodes) {
            Await.until(
                    n.identity().nodeId() + " is idle",
                    () ->
                            n.inProgress() == 0
                                    && n.context().activeRequests().size() == 0
                                    && n.admission().status().inFlight() == 0
                                    && n.admission().status().queued() == 0);
        }
    }

    private Request request(HttpClient client, DataPlane entry, String method, String path) {
        return client.newRequest("http://" + entry.ingress() + path)
                .method(method)
                .headers(
                        h -> {
                            h.put(Headers.PARTNER, "hire");
                            h.put("Authorization", "Bearer " + CREDENTIAL);
                            h.put(Headers.SERVICE, "a");
                        });
    }

    ContentResponse send(DataPlane entry, String method, String path, Consumer<Request> edit)
            throws Exception {
        Request r = request(entry, method, path);
        edit.accept(r);
        return r.send();
    }

    String ticket(DataPlane entry, String service) throws Exception {
        ContentResponse r =
                send(entry, "POST", TicketHandler.PATH + "?service=" + service, x -> {});
        return new com.fasterxml.jackson.databind.ObjectMapper()
                .readTree(r.getContentAsString())
                .get("ticket")
                .asText();
    }

    @Override
    public void close() throws Exception {
        mClient.stop();
        mHttp2.stop();
        for (DataPlane n : mNodes) {
            n.close();
        }
        for (FakeBackend b : mBackends) {
            b.close();
        }
    }
}
