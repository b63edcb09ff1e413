package io.azurestage.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.azurestage.core.time.ManualTimeSource;
import io.azurestage.core.time.TimeSource;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A GET and an advance on their way through the chain a, b, c, both held at one step at b, where a
 * fault then strikes. The clocks of the nodes stand still unless a test moves them.
 */
final class FaultScenario implements AutoCloseable, TestMesh.Site {
    static final int SLOTS = 8;
    static final String GET_PATH = "/bookings/probe";
    static final String ADVANCE_PATH = "/advances/probe";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String FILLER = "/bookings/filler";
    private static final long LIMIT_SECONDS = 60;
    private static final String B = "node-1";

    final ManualTimeSource mTime = new ManualTimeSource();
    final HeldTime mTimeOfB = new HeldTime(mTime);
    final TestMesh mMesh;
    private final Step mStep;
    private final CountDownLatch mOpen = new CountDownLatch(1);
    private final AtomicInteger mHeld = new AtomicInteger();
    private final List<Probe> mProbes = new ArrayList<>();
    private long mDeadlineMillis = 60_000;
    private TcpProxy mRelay;
    private volatile boolean mTruncate;
    private String mTicket;

    /** A request whose answer is checked. */
    record Probe(String service, String path, CompletableFuture<ContentResponse> answer) {}

    FaultScenario(Step step) throws Exception {
        mStep = step == Step.DRAINING || step == Step.CONFIGURATION_PUSH ? Step.RUNNING : step;
        mMesh = new TestMesh(this, 3);
        for (int i = 0; i < 3; i++) {
            answerOfChain(mMesh.backend(i));
        }
        mMesh.backend(1).behaviour(this::runAtB);
        if (mStep == Step.DISPATCHED) {
            mMesh.backend(1).beforeRun(this::hold);
        }
    }

    static void answerOfChain(FakeBackend b) {
        b.behaviour((q, s, c) -> FakeBackend.reply(s, c, b.answerOfChain(q)));
    }

    @Override
    public TimeSource time(String nodeId) {
        return nodeId.equals(B) ? mTimeOfB : mTime;
    }

    @Override
    public HostPort address(String nodeId, HostPort real) throws Exception {
        if (!nodeId.equals(B)) {
            return real;
        }
        mRelay = new TcpProxy(real);
        return mRelay.address();
    }

    TcpProxy linkToB() {
        return mRelay;
    }

    FaultScenario deadline(long millis) {
        mDeadlineMillis = millis;
        return this;
    }

    /** From now on, b breaks off its answers. */
    void truncate() {
        mTruncate = true;
    }

    private void hold() {
        mHeld.incrementAndGet();
        try {
            mOpen.await(LIMIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runAtB(Request q, Response s, Callback c) throws Exception {
        boolean filler = q.getHttpURI().getPath().startsWith(FILLER);
        if (mStep == Step.RUNNING || mStep == Step.QUEUED && filler) {
            hold();
        }
        if (mTruncate) {
            FakeBackend.breakOff(s, c);
            return;
        }
        FakeBackend.Answer answer = mMesh.backend(1).answerOfChain(q);
        if (mStep != Step.ANSWER_UNDER_WAY || answer.status() != 200) {
            FakeBackend.reply(s, c, answer);
            return;
        }
        byte[] bytes = answer.text().getBytes(StandardCharsets.UTF_8);
        s.getHeaders().put("Content-Length", bytes.length);
        s.write(
                false,
                ByteBuffer.wrap(bytes, 0, 2),
                Callback.from(
                        () -> {
                            hold();
                            s.write(true, ByteBuffer.wrap(bytes, 2, bytes.length - 2), c);
                        },
                        c::failed));
    }

    /** Brings both requests to the step. At the arrival, nothing is sent yet. */
    void bring() throws Exception {
        mTicket = mMesh.ticket(mMesh.node(2), "a");
        if (mStep == Step.ARRIVAL) {
            return;
        }
        if (mStep == Step.QUEUED) {
            for (int i = 0; i < SLOTS; i++) {
                probe("b", FILLER + i);
            }
            awaitHeld(SLOTS);
        }
        sendBoth();
        switch (mStep) {
            case QUEUED ->
                    Await.until(
                            "both are queued",
                            () -> mMesh.node(1).admission().status().queued() >= 2);
            case ANSWERED -> check();
            default -> awaitHeld(2);
        }
    }

    void awaitHeld(int count) {
        Await.until(count + " requests are held at b", () -> mHeld.get() >= count);
    }

    void sendBoth() {
        probe("a", GET_PATH);
        advance(2);
    }

    List<Probe> probes() {
        return List.copyOf(mProbes);
    }

    /** Sends the advance, or repeats it. */
    Probe advance(int entry) {
        return add(
                "a",
                ADVANCE_PATH,
                mMesh.advance(mMesh.request(mMesh.node(entry), "POST", ADVANCE_PATH), mTicket));
    }

    Probe probe(String service, String path) {
        return add(service, path, mMesh.request(mMesh.node(2), "GET", path));
    }

    private Probe add(String service, String path, org.eclipse.jetty.client.Request r) {
        r.headers(
                h -> {
                    h.put(Headers.SERVICE, service);
                    h.put(Headers.DEADLINE_MS, mDeadlineMillis);
                });
        Probe p = new Probe(service, path, TestMesh.start(r));
        mProbes.add(p);
        return p;
    }

    void open() {
        mOpen.countDown();
    }

    /** Checks what must hold of every request, whatever goes wrong. */
    void check() throws Exception {
        for (Probe p : probes()) {
            check(p);
        }
        for (int i = 0; i < 3; i++) {
            // P5: at most once. P1: retries at all hops together stay within the allowance of 3.
            assertThat(mMesh.backend(i).runs(ADVANCE_PATH)).isLessThanOrEqualTo(1);
            assertThat(mMesh.backend(i).runs(GET_PATH)).isLessThanOrEqualTo(1 + 3);
        }
    }

    private void check(Probe p) throws Exception {
        ContentResponse r = TestMesh.get(p.answer());
        if (r.getStatus() == 200) {
            // P3: the whole answer, and that of this request.
            assertThat(r.getContentAsString()).isEqualTo(wholeAnswer(p));
            return;
        }
        JsonNode refusal = MAPPER.readTree(r.getContentAsString());
        assertThat(refusal.get("kind")).isNotNull();
        assertThat(refusal.get("ran").asText()).isIn("not-run", "unknown");
        if (refusal.get("ran").asText().equals("not-run")) {
            // P4: the run counters of the backend servers say so too.
            for (int i = 0; i < 3; i++) {
                assertThat(mMesh.backend(i).runs(p.path())).as(p.toString()).isEqualTo(0);
            }
        }
    }

    private static String wholeAnswer(Probe p) {
        String all = "a" + p.path() + ">b" + p.path() + ">c" + p.path();
        return all.substring(all.indexOf(p.service() + p.path()));
    }

    /** After the fault: a repeat of the advance gets the same answer and runs nothing again. */
    void checkRepeat() throws Exception {
        List<Probe> before = mProbes.stream().filter(p -> p.path().equals(ADVANCE_PATH)).toList();
        Probe repeat = advance(0);
        check();
        boolean answered = false;
        for (Probe p : before) {
            answered |= TestMesh.get(p.answer()).getStatus() == 200;
        }
        if (answered) {
            assertThat(TestMesh.get(repeat.answer()).getStatus()).isEqualTo(200);
        }
    }

    @Override
    public void close() throws Exception {
        open();
        mTimeOfB.resume();
        mMesh.close();
        mRelay.close();
    }
}
