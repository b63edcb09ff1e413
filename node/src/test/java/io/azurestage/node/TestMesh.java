package io.azurestage.node;

import io.azurestage.config.Azurestage;
import io.azurestage.config.ConfigBuilder;
import io.azurestage.config.MeshConfig;
import io.azurestage.core.routing.Endpoint;
import io.azurestage.core.time.TimeSource;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;

/** Nodes with fake backend servers in a chain a, b, c over loopback. */
final class TestMesh implements AutoCloseable {
    static final String CREDENTIAL = "credential of the hire house";
    static final List<String> CHAIN = List.of("a", "b", "c");

    private final List<FakeBackend> mBackends = new ArrayList<>();
    private final List<DataPlane> mNodes = new ArrayList<>();
    private final HttpClient mClient = new HttpClient();
    private final List<Endpoint> mEndpoints = new ArrayList<>();
    private final MeshConfig mConfig;
    private final TimeSource mTime;

    TestMesh() throws Exception {
        this(TimeSource.system(), 3);
    }

    TestMesh(TimeSource time, int retryAllowance) throws Exception {
        mTime = time;
        mConfig = config(retryAllowance);
        mClient.start();
        for (int i = 0; i < CHAIN.size(); i++) {
            add(CHAIN.get(i), i + 1 < CHAIN.size() ? CHAIN.get(i + 1) : "");
        }
    }

    private static MeshConfig config(int retryAllowance) {
        ConfigBuilder b =
                Azurestage.config()
                        .retryAllowance(retryAllowance)
                        .partner("hire", p -> p.share(60).credential(CREDENTIAL))
                        .partner("die", p -> p.share(40).credential("another credential"));
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
        DataPlane node =
                DataPlane.start(
                        settings("node-" + mNodes.size(), service, backend.address()),
                        mTime,
                        e -> {});
        backend.egress(node.egress());
        mBackends.add(backend);
        mNodes.add(node);
        mEndpoints.add(
                new Endpoint(
                        node.identity(),
                        service,
                        node.ingress().toString(),
                        "dc1",
                        "r1",
                        8,
                        Endpoint.State.SERVING,
                        0));
        for (DataPlane n : mNodes) {
            n.apply(mConfig);
            n.serve();
            n.endpoints(mEndpoints);
        }
        return node;
    }

    static NodeSettings settings(String nodeId, String service, HostPort backend)
            throws SettingsException {
        return settings(nodeId, service, backend, 0);
    }

    static NodeSettings settings(String nodeId, String service, HostPort backend, int ingress)
            throws SettingsException {
        String any = "{\"host\":\"127.0.0.1\",\"port\":0}";
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
                                any,
                                any,
                                any,
                                any),
                "test");
    }

    Request request(DataPlane entry, String method, String path) {
        return mClient.newRequest("http://" + entry.ingress() + path)
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
        ContentResponse r = send(entry, "POST", Tickets.PATH + "?service=" + service, x -> {});
        return new com.fasterxml.jackson.databind.ObjectMapper()
                .readTree(r.getContentAsString())
                .get("ticket")
                .asText();
    }

    @Override
    public void close() throws Exception {
        mClient.stop();
        for (DataPlane n : mNodes) {
            n.close();
        }
        for (FakeBackend b : mBackends) {
            b.close();
        }
    }
}
