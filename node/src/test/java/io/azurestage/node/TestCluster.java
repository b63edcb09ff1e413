package io.azurestage.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.time.ManualTimeSource;
import io.azurestage.store.ConfigPublisher;
import io.azurestage.store.Push;
import io.azurestage.store.PushResult;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;

/** Complete nodes of service c with an in-memory store. Their time advances while a test waits. */
final class TestCluster implements AutoCloseable {
    private static final Duration TIME_STEP = Duration.ofMillis(10);

    final FakeStore mStore = new FakeStore();
    final ManualTimeSource mTime = new ManualTimeSource();
    private final HttpClient mClient = new HttpClient();
    private final List<Node> mNodes = new ArrayList<>();
    private final List<PausableTimeSource> mTimes = new ArrayList<>();
    private final List<FakeBackend> mBackends = new ArrayList<>();

    TestCluster() throws Exception {
        mClient.start();
        await("version 1 is pushed", pushConfig(60)::isDone);
    }

    /** Starts a node that joins through the store and the given seeds. */
    Node start(HostPort... seeds) throws Exception {
        FakeBackend backend = new FakeBackend("c", "");
        mBackends.add(backend);
        PausableTimeSource time = new PausableTimeSource(mTime);
        mTimes.add(time);
        Node node = Node.start(settings(backend.address(), seeds), time, mStore.connect());
        mNodes.add(node);
        return node;
    }

    private NodeSettings settings(HostPort backend, HostPort... seeds) throws SettingsException {
        String anyPort = "{\"host\":\"127.0.0.1\",\"port\":0}";
        List<String> seedList = new ArrayList<>();
        for (HostPort s : seeds) {
            seedList.add("{\"host\":\"%s\",\"port\":%d}".formatted(s.host(), s.port()));
        }
        return SettingsLoader.parse(
                """
                {"nodeId":"n%d","service":"c","dataCentre":"dc1","region":"r1","slots":8,
                 "connectionLimit":32,"backend":{"host":"%s","port":%d},"drainGraceMillis":0,
                 "ingress":%s,"egress":%s,"control":%s,"admin":%s,"seeds":%s,
                 "meshKey":"000102030405060708090a0b0c0d0e0f","store":[%s]}
                """
                        .formatted(
                                mNodes.size() + 1,
                                backend.host(),
                                backend.port(),
                                anyPort,
                                anyPort,
                                anyPort,
                                anyPort,
                                seedList,
                                anyPort),
                "test");
    }

    Node startReady(HostPort... seeds) throws Exception {
        Node n = start(seeds);
        await(n.identity().nodeId() + " is ready", n::isReady);
        return n;
    }

    PausableTimeSource timeOf(Node n) {
        return mTimes.get(mNodes.indexOf(n));
    }

    int runs(Node n) {
        return mBackends.get(mNodes.indexOf(n)).runs();
    }

    /** Waits for a condition while advancing the time of the nodes. */
    void await(String what, BooleanSupplier condition) {
        Await.until(what, condition, () -> mTime.advance(TIME_STEP));
    }

    /** Advances the time of the nodes in one step. */
    void advanceTime(Duration time) {
        mTime.advance(time);
    }

    /** Publishes a configuration with this share of the partner hire. */
    CompletableFuture<PushResult> pushConfig(int share) {
        return new ConfigPublisher(mStore.connect())
                .push(Push.of(TestMesh.config(3, share), "asha"));
    }

    void awaitConfig(long number, Node... nodes) {
        for (Node n : nodes) {
            await(
                    n.identity().nodeId() + " has version " + number,
                    () -> n.configNumber() >= number);
            assertThat(n.configNumber()).isEqualTo(number);
        }
    }

    ContentResponse get(Node n) throws Exception {
        return TestMesh.get(
                TestMesh.start(
                        mClient.newRequest("http://" + n.ingress() + "/bookings/1")
                                .headers(
                                        h -> {
                                            h.put(Headers.PARTNER, "hire");
                                            h.put("Authorization", "Bearer " + TestMesh.CREDENTIAL);
                                            h.put(Headers.SERVICE, "c");
                                        })));
    }

    /** Checks that a node is not ready, refuses a call as such, and has run nothing. */
    void checkJoining(Node n) throws Exception {
        assertThat(n.isReady()).isFalse();
        assertThat(get(n).getContentAsString())
                .contains("\"kind\":\"not-ready\"", "\"ran\":\"not-run\"");
        assertThat(runs(n)).isEqualTo(0);
    }

    void checkServing(Node n) throws Exception {
        ContentResponse r = get(n);
        assertThat(r.getContentAsString()).isEqualTo("c");
    }

    @Override
    public void close() throws Exception {
        mTimes.forEach(PausableTimeSource::resume);
        mStore.mode(FakeStore.Mode.DOWN);
        for (Node n : mNodes) {
            n.close();
        }
        for (FakeBackend b : mBackends) {
            b.close();
        }
        mClient.stop();
    }
}
