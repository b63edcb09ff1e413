package io.azurestage.relay.link;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.time.ManualTimeSource;
import io.azurestage.core.time.PauseDetector;
import io.azurestage.core.time.TimeSource;
import io.azurestage.relay.Loop;
import io.azurestage.relay.TestCalls;
import io.azurestage.relay.call.CallHandle;
import io.azurestage.relay.call.CallListener;
import io.azurestage.relay.call.CallResult;
import io.azurestage.relay.call.CallResult.Answered.Execution;
import io.azurestage.relay.call.CallSpec;
import io.azurestage.relay.call.LoadReport;
import io.azurestage.relay.http.Body;
import io.azurestage.wire.generated.link.CallCancel;
import io.azurestage.wire.generated.link.LinkMessage;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Calls whose callers have left are neither sent to the backend server nor kept running there. */
class DepartedCallersTest {
    private static final String HELD = "held";
    private static final String ANSWERED = "answered";
    private static final String QUEUED = "queued";

    private final Loop mLoop = new Loop();
    private final ManualTimeSource mServerTime = new ManualTimeSource();
    private final PauseDetector mPauses = new PauseDetector(mServerTime);
    private final AtomicLong mCallIds = new AtomicLong();
    private final List<String> mStarted = new ArrayList<>();
    private final List<String> mCancelled = new ArrayList<>();
    private final List<String> mWithdrawn = new ArrayList<>();
    private LinkServer mServer;

    @BeforeEach
    void open() throws Exception {
        mServer = new LinkServer(mServerTime, mPauses, self("owner"), this::run);
        mServer.open(mLoop.group(), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        mLoop.run(this::tick);
    }

    private void tick() {
        mPauses.tick();
        mServer.tick();
    }

    @AfterEach
    void close() {
        mServer.close();
        mLoop.close();
    }

    private LinkSelf self(String node) {
        return new LinkSelf(
                new NodeIdentity(node, 1),
                mCallIds::incrementAndGet,
                () -> 0,
                Optional::empty,
                d -> {},
                QuotaPeer.NONE,
                (server, started) -> {});
    }

    private CallHandle run(CallSpec spec, CallListener listener) {
        mStarted.add(spec.operation());
        if (spec.operation().equals(ANSWERED)) {
            listener.done(
                    new CallResult.Answered(200, List.of(), Body.EMPTY, Execution.COMPLETED),
                    LoadReport.UNKNOWN);
        }
        return new CallHandle() {
            @Override
            public void cancel() {
                mCancelled.add(spec.operation());
            }

            @Override
            public boolean withdraw() {
                return spec.operation().equals(QUEUED) && mWithdrawn.add(spec.operation());
            }
        };
    }

    private LinkClient client(int port) {
        return new LinkClient(
                mLoop.loop(),
                TimeSource.system(),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                self("entry"),
                (address, up, reason) -> {});
    }

    private static CallSpec call(String operation) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        return TestCalls.first("s", operation, new byte[0], deadline, true);
    }

    /** Completes a call, so that everything sent before it has been handled. */
    private void exchange(LinkClient c) throws Exception {
        CompletableFuture<CallResult> done = new CompletableFuture<>();
        mLoop.run(() -> c.start(call(ANSWERED), (result, load) -> done.complete(result)));
        assertThat(Loop.get(done)).isInstanceOf(CallResult.Answered.class);
    }

    @Test
    void callThatIsReadTogetherWithItsCancellationIsNotStarted() throws Exception {
        LinkClient c = client(mServer.port());
        exchange(c);
        mLoop.run(() -> c.start(call(HELD), (result, load) -> {}).cancel());
        exchange(c);
        assertThat(mLoop.call(() -> List.copyOf(mStarted))).containsOnly(ANSWERED);
    }

    /** The other end of a link, without a network between, so that each step is in order. */
    @Nested
    class AfterAPause {
        private final EmbeddedChannel mChannel = new EmbeddedChannel();
        private final IncomingCalls mCalls =
                new IncomingCalls(mServerTime, mPauses, DepartedCallersTest.this::run);

        @BeforeEach
        void connect() {
            mCalls.connected(mChannel);
            mServerTime.advance(Duration.ofSeconds(1));
            mCalls.accept(mChannel, CallMessages.start(1, call(HELD), 0));
            mChannel.runPendingTasks();
        }

        private void tickAfter(Duration step) {
            mServerTime.advance(step);
            mPauses.tick();
            mCalls.tick(mServerTime.nanos());
        }

        @Test
        void callThatIsCancelledSoonAfterwardsIsNotStarted() {
            CallCancel cancel = CallCancel.newBuilder().setCallId(1).build();
            mCalls.accept(mChannel, LinkMessage.newBuilder().setCancel(cancel).build());
            for (int i = 0; i < 5; i++) {
                tickAfter(Duration.ofMillis(100));
            }
            assertThat(mStarted).isEmpty();
        }

        @Test
        void callIsStartedAfterAShortWait() {
            tickAfter(Duration.ZERO);
            assertThat(mStarted).isEmpty();
            tickAfter(Duration.ofMillis(100));
            assertThat(mStarted).containsExactly(HELD);
        }

        /** A node that lacks processor time pauses again and again. */
        @Test
        void callIsStartedAlthoughEachTickIsLate() {
            tickAfter(Duration.ofMillis(500));
            assertThat(mStarted).containsExactly(HELD);
        }
    }

    @Nested
    class LostConnection {
        private FaultProxy mProxy;
        private LinkClient mClient;

        @BeforeEach
        void openProxy() throws Exception {
            mProxy = new FaultProxy(mServer.port());
            mClient = client(mProxy.port());
        }

        @AfterEach
        void closeProxy() {
            mProxy.close();
        }

        @Test
        void callThatIsCancelledWhileTheLinkIsDownEndsAfterReconnecting() throws Exception {
            CallHandle call = mLoop.call(() -> mClient.start(call(HELD), (result, load) -> {}));
            Loop.await("the call has started", () -> started() == 1);
            mProxy.stall();
            mProxy.reset();
            Loop.await("the link is down", () -> !isUp());
            mLoop.run(call::cancel);
            mProxy.resume();
            exchange(mClient);
            assertThat(mLoop.call(() -> List.copyOf(mCancelled))).containsExactly(HELD);
        }

        @Test
        void queuedCallIsWithdrawnWhenItsLinkStaysDown() throws Exception {
            CompletableFuture<CallResult> queued = new CompletableFuture<>();
            mLoop.run(() -> mClient.start(call(QUEUED), (result, load) -> queued.complete(result)));
            Loop.await("the call has started", () -> started() == 1);
            mProxy.stall();
            mProxy.reset();
            Loop.await("the link is down", () -> !isUp());
            // The server may notice the loss of the link later than the client.
            Loop.await("the call is withdrawn", () -> onLoop(this::withdrawnAtNextTick));
            mProxy.resume();
            assertThat(Loop.get(queued))
                    .isEqualTo(
                            new CallResult.NotRun(
                                    "the link to the caller's node was lost", Duration.ZERO, true));
        }

        private boolean withdrawnAtNextTick() {
            mServerTime.advance(Duration.ofMillis(500));
            mServer.tick();
            return mWithdrawn.size() == 1;
        }

        private int started() {
            return onLoop(mStarted::size);
        }

        private boolean isUp() {
            return onLoop(mClient::isUp);
        }

        private <T> T onLoop(Callable<T> task) {
            try {
                return mLoop.call(task);
            } catch (Exception e) {
                throw new AssertionError("the event loop did not run the task", e);
            }
        }
    }
}
