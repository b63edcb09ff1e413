package io.azurestage.node;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Blocks requests at a backend server until it is opened, for 60 s at most. */
final class Gate implements FakeBackend.Behaviour {
    private static final long MAX_BLOCK_SECONDS = 60;

    private final FakeBackend.Behaviour mNext;
    private final AtomicInteger mEntered = new AtomicInteger();
    private final CountDownLatch mOpen = new CountDownLatch(1);

    Gate(FakeBackend.Behaviour next) {
        mNext = next;
    }

    void awaitEntered(int count) {
        Await.until(count + " requests are running", () -> mEntered.get() >= count);
    }

    void open() {
        mOpen.countDown();
    }

    @Override
    public void handle(Request q, Response s, Callback callback) throws Exception {
        mEntered.incrementAndGet();
        mOpen.await(MAX_BLOCK_SECONDS, TimeUnit.SECONDS);
        mNext.handle(q, s, callback);
    }
}
