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

/** Whole nodes of service c with a store in memory; their time moves while a test waits. */
final class TestCluster implements AutoCloseable {
    private static final Duration STEP = Duration.ofMillis(10);

    final FakeStore mStore = new FakeStore();
    final ManualTimeSource mTime = new ManualTimeSource();
    private final HttpClient mClient = new HttpClient();
    private final List<Node> mNodes = new ArrayList<>();
    private final List<HeldTime> mTimes = new ArrayList<>();
    private final List<FakeBackend> mBackends = new ArrayList<>();

    TestCluster() throws Exception {
        mClient.start();
        await("version 1 is pushed", pushed(60)::isDone);
    }

    /** Starts a node that joins through the store and the given seeds. */
    Node start(HostPort... seeds) throws Exception {
        FakeBackend backend = new FakeBackend("c", "");
        mBackends.add(backend);
        HeldTime time = new HeldTime(mTime);
        mTimes.add(time);
        Node node = Node.start(settings(backend.address(), seeds), time, mStore.connect());
        mNodes.add(node);
        return node;
    }

    private NodeSettings settings(HostPort backend, HostPort... seeds) throws SettingsException {
        String any = "{\"host\":\"127.0.0.1\",\"port\":0}";
        List<String> list = new ArrayList<>();
        for (HostPort s : seeds) {
            list.add("{\"host\":\"%s\",\"port\":%d}".formatted(s.host(), s.port()));
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
                                any,
                                any,
                                any,
                                any,
                                list,
                                any),
                "test");
    }

    Node ready(HostPort... seeds) throws Exception {
        Node n = start(seeds);
        await(n.identity().nodeId() + " is ready", n::isReady);
        return n;
    }

    HeldTime timeOf(Node n) {
        return mTimes.get(mNodes.indexOf(n));
    }

    int runs(Node n) {
        return mBackends.get(mNodes.indexOf(n)).runs();
    }

    /** Waits while time goes on. */
    void await(String what, BooleanSupplier condition) {
        Await.until(what, condition, () -> mTime.advance(STEP));
    }

    /** Lets time go on, as a pause of that length does. */
    void pass(Duration time) {
        mTime.advance(time);
    }

    /** Publishes a cost split. */
    CompletableFuture<PushResult> pushed(int share) {
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

    /** Not ready, says so, and runs nothing. */
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
        mTimes.forEach(HeldTime::resume);
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
