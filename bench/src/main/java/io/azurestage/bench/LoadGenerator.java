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
 * Open-loop load generator: each request is sent at its intended time, whether or not earlier ones
 * have been answered, and its latency is measured from the intended time.
 */
final class LoadGenerator {
    /** Delay before an impatient caller retries an unsuccessful request. */
    static final long CALLER_RETRY_DELAY_NANOS = 20_000_000;

    private final LoadPlan mPlan;
    private final Caller mCaller;
    private final Pacer mPacer;
    private final Queue<Sample> mSamples = new ConcurrentLinkedQueue<>();

    /** Requests in flight, plus 1 until the last request has been sent. */
    private final AtomicLong mOutstanding = new AtomicLong(1);

    private final CompletableFuture<Void> mAllEnded = new CompletableFuture<>();
    private final Runnable mAfterLastSend;
    private long mStartNanos;

    private record Arrival(long nanos, int flow) {}

    private record Request(int flow, String id, long intendedNanos, long sentNanos) {}

    LoadGenerator(LoadPlan plan, Caller caller, Pacer pacer) {
        this(plan, caller, pacer, () -> {});
    }

    /**
     * Creates a generator.
     *
     * @param afterLastSend runs after the last send, before waiting for outstanding requests
     */
    LoadGenerator(LoadPlan plan, Caller caller, Pacer pacer, Runnable afterLastSend) {
        mPlan = plan;
        mCaller = caller;
        mPacer = pacer;
        mAfterLastSend = afterLastSend;
    }

    /** Sends the whole plan and returns one sample per request once all requests have ended. */
    List<Sample> run() {
        PriorityQueue<Arrival> due =
                new PriorityQueue<>(
                        Comparator.comparingLong(Arrival::nanos).thenComparing(Arrival::flow));
        List<Arrivals> flows = new ArrayList<>();
        for (int i = 0; i < mPlan.flows().size(); i++) {
            flows.add(new Arrivals(mPlan, i));
            scheduleNext(due, flows, i);
        }
        mStartNanos = mPacer.nanos();
        long sentCount = 0;
        while (!due.isEmpty()) {
            Arrival arrival = due.poll();
            mPacer.waitUntil(mStartNanos + arrival.nanos());
            mOutstanding.incrementAndGet();
            long sent = mPacer.nanos() - mStartNanos;
            send(new Request(arrival.flow(), "r" + sentCount++, arrival.nanos(), sent), 0);
            scheduleNext(due, flows, arrival.flow());
        }
        releaseOutstanding();
        mAfterLastSend.run();
        mAllEnded.join();
        return List.copyOf(mSamples);
    }

    private static void scheduleNext(PriorityQueue<Arrival> due, List<Arrivals> flows, int flow) {
        long next = flows.get(flow).next();
        if (next >= 0) {
            due.add(new Arrival(next, flow));
        }
    }

    private void send(Request request, int attempt) {
        Flow flow = mPlan.flows().get(request.flow());
        RequestKey key =
                new RequestKey(request.id(), attempt, flow.partner(), flow.workClass().name());
        mCaller.call(flow, key, mPlan.deadline())
                .thenAccept(result -> complete(request, key, result));
    }

    private void complete(Request request, RequestKey key, AttemptResult result) {
        boolean whole = result.verdict() == Verdict.WHOLE;
        if (!whole && key.attempt() < mPlan.flows().get(request.flow()).callerRetries()) {
            mPacer.after(CALLER_RETRY_DELAY_NANOS, () -> send(request, key.attempt() + 1));
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
                        result));
        releaseOutstanding();
    }

    private void releaseOutstanding() {
        if (mOutstanding.decrementAndGet() == 0) {
            mAllEnded.complete(null);
        }
    }
}
