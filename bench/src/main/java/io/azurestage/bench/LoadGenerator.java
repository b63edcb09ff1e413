package io.azurestage.bench;

import io.azurestage.bench.standin.RequestKey;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sends load in an open loop: a request is sent at its intended time, whether or not earlier ones
 * have been answered, and its latency counts from the intended time.
 */
final class LoadGenerator {
    /** Pause of an impatient caller before it repeats a failed request. */
    static final long HARD_RETRY_NANOS = 20_000_000;

    private final LoadPlan mPlan;
    private final Caller mCaller;
    private final Pacer mPacer;
    private final Queue<Sample> mSamples = new ConcurrentLinkedQueue<>();

    /** Requests without an end, and 1 for the sender. */
    private final AtomicLong mOpen = new AtomicLong(1);

    private final CompletableFuture<Void> mAllEnded = new CompletableFuture<>();
    private final Runnable mAfterLastSend;
    private long mStartNanos;

    private record Arrival(long nanos, int flow) {}

    private record Request(int flow, String id, long intendedNanos, long sentNanos) {}

    LoadGenerator(LoadPlan plan, Caller caller, Pacer pacer) {
        this(plan, caller, pacer, () -> {});
    }

    /** The last parameter runs after the last send, before the end of all requests is awaited. */
    LoadGenerator(LoadPlan plan, Caller caller, Pacer pacer, Runnable afterLastSend) {
        mPlan = plan;
        mCaller = caller;
        mPacer = pacer;
        mAfterLastSend = afterLastSend;
    }

    /** Sends the whole plan and returns once every request has ended. */
    List<Sample> run() {
        PriorityQueue<Arrival> due =
                new PriorityQueue<>(
                        Comparator.comparingLong(Arrival::nanos).thenComparing(Arrival::flow));
        List<Arrivals> flows = new ArrayList<>();
        for (int i = 0; i < mPlan.flows().size(); i++) {
            flows.add(new Arrivals(mPlan, i));
            add(due, flows, i);
        }
        mStartNanos = mPacer.nanos();
        long count = 0;
        while (!due.isEmpty()) {
            Arrival arrival = due.poll();
            mPacer.waitUntil(mStartNanos + arrival.nanos());
            mOpen.incrementAndGet();
            long sent = mPacer.nanos() - mStartNanos;
            send(new Request(arrival.flow(), "r" + count++, arrival.nanos(), sent), 0);
            add(due, flows, arrival.flow());
        }
        closed();
        mAfterLastSend.run();
        mAllEnded.join();
        return List.copyOf(mSamples);
    }

    private static void add(PriorityQueue<Arrival> due, List<Arrivals> flows, int flow) {
        long next = flows.get(flow).next();
        if (next >= 0) {
            due.add(new Arrival(next, flow));
        }
    }

    private void send(Request request, int attempt) {
        Flow flow = mPlan.flows().get(request.flow());
        RequestKey key =
                new RequestKey(request.id(), attempt, flow.partner(), flow.workClass().name());
        mCaller.call(flow, key, mPlan.deadline()).thenAccept(ending -> ended(request, key, ending));
    }

    private void ended(Request request, RequestKey key, AttemptResult ending) {
        boolean whole = ending.verdict() == Verdict.WHOLE;
        if (!whole && key.attempt() < mPlan.flows().get(request.flow()).hardRetries()) {
            mPacer.after(HARD_RETRY_NANOS, () -> send(request, key.attempt() + 1));
            return;
        }
        long end = mPacer.nanos() - mStartNanos;
        mSamples.add(
                new Sample(
                        request.flow(),
                        key.text(),
                        request.intendedNanos(),
                        request.sentNanos(),
                        end,
                        ending));
        closed();
    }

    private void closed() {
        if (mOpen.decrementAndGet() == 0) {
            mAllEnded.complete(null);
        }
    }
}
