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
 * Sends a GET and an advance (a POST with a ticket) through the service chain a, b, c and holds
 * both at one step at b, so that a test can inject a fault there. The clocks of the nodes advance
 * only when a test moves them.
 */
final class FaultScenario implements AutoCloseable, TestMesh.Environment {
    static final int SLOTS = 8;
    static final String GET_PATH = "/bookings/probe";
    static final String ADVANCE_PATH = "/advances/probe";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String FILLER_PATH = "/bookings/filler";
    private static final long HOLD_TIMEOUT_SECONDS = 60;
    private static final String NODE_B = "node-1";

    final ManualTimeSource mTime = new ManualTimeSource();
    final PausableTimeSource mTimeOfB = new PausableTimeSource(mTime);
    final TestMesh mMesh;
    private final Step mStep;
    private final CountDownLatch mReleased = new CountDownLatch(1);
    private final AtomicInteger mHeldCount = new AtomicInteger();
    private final List<Probe> mProbes = new ArrayList<>();
    private long mDeadlineMillis = 60_000;
    private TcpProxy mLinkToB;
    private volatile boolean mTruncateResponses;
    private String mTicket;

    /** A request whose response is checked. */
    record Probe(String service, String path, CompletableFuture<ContentResponse> answer) {}

    FaultScenario(Step step) throws Exception {
        mStep = step == Step.DRAINING || step == Step.CONFIGURATION_PUSH ? Step.RUNNING : step;
        mMesh = new TestMesh(this, 3);
        for (int i = 0; i < 3; i++) {
            replyWithChain(mMesh.backend(i));
        }
        mMesh.backend(1).behaviour(this::runAtB);
        if (mStep == Step.DISPATCHED) {
            mMesh.backend(1).beforeRun(this::hold);
        }
    }

    static void replyWithChain(FakeBackend b) {
        b.behaviour((q, s, c) -> FakeBackend.reply(s, c, b.chainResponse(q)));
    }

    @Override
    public TimeSource time(String nodeId) {
        return nodeId.equals(NODE_B) ? mTimeOfB : mTime;
    }

    @Override
    public HostPort address(String nodeId, HostPort real) throws Exception {
        if (!nodeId.equals(NODE_B)) {
            return real;
        }
        mLinkToB = new TcpProxy(real);
        return mLinkToB.address();
    }

    TcpProxy linkToB() {
        return mLinkToB;
    }

    FaultScenario deadline(long millis) {
        mDeadlineMillis = millis;
        return this;
    }

    /** Makes b truncate its responses from now on. */
    void truncate() {
        mTruncateResponses = true;
    }

    private void hold() {
        mHeldCount.incrementAndGet();
        try {
            mReleased.await(HOLD_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runAtB(Request q, Response s, Callback c) throws Exception {
        boolean filler = q.getHttpURI().getPath().startsWith(FILLER_PATH);
        if (mStep == Step.RUNNING || mStep == Step.QUEUED && filler) {
            hold();
        }
        if (mTruncateResponses) {
            FakeBackend.breakOff(s, c);
            return;
        }
        FakeBackend.Answer answer = mMesh.backend(1).chainResponse(q);
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

    /** Sends both requests and waits until they reach the step. For ARRIVAL, sends nothing yet. */
    void runToStep() throws Exception {
        mTicket = mMesh.ticket(mMesh.node(2), "a");
        if (mStep == Step.ARRIVAL) {
            return;
        }
        if (mStep == Step.QUEUED) {
            for (int i = 0; i < SLOTS; i++) {
                probe("b", FILLER_PATH + i);
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
        Await.until(count + " requests are held at b", () -> mHeldCount.get() >= count);
    }

    void sendBoth() {
        probe("a", GET_PATH);
        advance(2);
    }

    List<Probe> probes() {
        return List.copyOf(mProbes);
    }

    /** Sends the advance, or retries it with the same ticket. */
    Probe advance(int entry) {
        return send(
                "a",
                ADVANCE_PATH,
                mMesh.advance(mMesh.request(mMesh.node(entry), "POST", ADVANCE_PATH), mTicket));
    }

    Probe probe(String service, String path) {
        return send(service, path, mMesh.request(mMesh.node(2), "GET", path));
    }

    private Probe send(String service, String path, org.eclipse.jetty.client.Request r) {
        r.headers(
                h -> {
                    h.put(Headers.SERVICE, service);
                    h.put(Headers.DEADLINE_MS, mDeadlineMillis);
                });
        Probe p = new Probe(service, path, TestMesh.start(r));
        mProbes.add(p);
        return p;
    }

    void releaseRequests() {
        mReleased.countDown();
    }

    /** Checks the properties that every request must have under any fault. */
    void check() throws Exception {
        for (Probe p : probes()) {
            check(p);
        }
        for (int i = 0; i < 3; i++) {
            // P5: at most one execution. P1: at most 3 retries over all hops, the retry allowance.
            assertThat(mMesh.backend(i).runs(ADVANCE_PATH)).isLessThanOrEqualTo(1);
            assertThat(mMesh.backend(i).runs(GET_PATH)).isLessThanOrEqualTo(1 + 3);
        }
    }

    private void check(Probe p) throws Exception {
        ContentResponse r = TestMesh.get(p.answer());
        if (r.getStatus() == 200) {
            // P3: the complete response, and the one to this request.
            assertThat(r.getContentAsString()).isEqualTo(expectedResponse(p));
            return;
        }
        JsonNode refusal = MAPPER.readTree(r.getContentAsString());
        assertThat(refusal.get("kind")).isNotNull();
        assertThat(refusal.get("ran").asText()).isIn("not-run", "unknown");
        if (refusal.get("ran").asText().equals("not-run")) {
            // P4: the run counters of the backend servers confirm it.
            for (int i = 0; i < 3; i++) {
                assertThat(mMesh.backend(i).runs(p.path())).as(p.toString()).isEqualTo(0);
            }
        }
    }

    private static String expectedResponse(Probe p) {
        String all = "a" + p.path() + ">b" + p.path() + ">c" + p.path();
        return all.substring(all.indexOf(p.service() + p.path()));
    }

    /**
     * Checks after the fault that a retry of the advance gets the same response and runs nothing.
     */
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
        releaseRequests();
        mTimeOfB.resume();
        mMesh.close();
        mLinkToB.close();
    }
}
