package io.azurestage.client;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/** Runs one call: fetches a ticket if needed, sends attempts, and decides on retries. */
final class CallRunner {
    private static final String TICKET_HEADER = "Idempotency-Key";
    private static final String DEADLINE_HEADER = "Azurestage-Deadline-Ms";

    private final CallSpec mSpec;
    private final Services mServices;
    private final CompletableFuture<CallResult> mResult = new CompletableFuture<>();
    private final Set<URI> mTriedEntries = new HashSet<>();
    private final long mDeadlineNanos;
    private String mTicket;
    private int mAttempts;
    private int mRefusals;

    /** Dependencies that all calls of a client share. */
    record Services(
            Transport transport,
            EntrySelector entries,
            DelayScheduler scheduler,
            RetryLimits limits,
            LongSupplier nanos,
            RandomGenerator random,
            Map<String, String> partnerHeaders) {}

    CallRunner(CallSpec spec, Services services) {
        mSpec = spec;
        mServices = services;
        mTicket = spec.ticket();
        mDeadlineNanos = services.nanos().getAsLong() + spec.deadline().toNanos();
    }

    CompletableFuture<CallResult> run() {
        startAttempt();
        return mResult;
    }

    private void startAttempt() {
        if (mResult.isDone()) {
            return;
        }
        if (remaining().isNegative() || remaining().isZero()) {
            fail("the deadline of " + mSpec.deadline().toMillis() + " ms has passed");
            return;
        }
        mAttempts++;
        URI entry = mServices.entries().pick(mTriedEntries);
        mTriedEntries.add(entry);
        if (mSpec.needsTicket() && mTicket.isEmpty()) {
            fetchTicket(entry);
        } else {
            send(entry);
        }
    }

    private void fetchTicket(URI entry) {
        AttemptRequest request =
                new AttemptRequest(
                        "POST",
                        "/azurestage/v1/tickets?service="
                                + URLEncoder.encode(mSpec.service(), StandardCharsets.UTF_8),
                        mServices.partnerHeaders(),
                        new byte[0],
                        null);
        mServices
                .transport()
                .send(entry, request, attemptTimeout())
                .thenAccept(result -> onTicketResult(entry, result));
    }

    private void onTicketResult(URI entry, AttemptResult result) {
        if (result instanceof AttemptResult.Complete complete) {
            mServices.entries().markWorking(entry);
            var ticket = RefusalParser.parseTicket(complete);
            if (ticket.isPresent()) {
                mTicket = ticket.get();
                send(entry);
                return;
            }
            var refused = RefusalParser.parse(complete);
            if (refused.isPresent()) {
                onRefused(refused.get());
                return;
            }
        } else {
            mServices.entries().markFailed(entry);
        }
        if (canRetry()) {
            startAttempt();
            return;
        }
        String remedy = "check that the entry nodes are reachable and make the call again";
        // Nothing was sent but requests for a ticket, so the call itself cannot have run.
        mResult.complete(
                new CallResult.Refused("no-entry", Ran.NOT_RUN, Duration.ZERO, remedy, ""));
    }

    private void send(URI entry) {
        Duration remaining = remaining();
        if (remaining.toMillis() <= 0) {
            fail("the deadline of " + mSpec.deadline().toMillis() + " ms has passed");
            return;
        }
        Map<String, String> headers = new HashMap<>(mSpec.headers());
        headers.putAll(mServices.partnerHeaders());
        headers.put("Azurestage-Service", mSpec.service());
        headers.put(DEADLINE_HEADER, Long.toString(remaining.toMillis()));
        if (!mTicket.isEmpty()) {
            headers.put(TICKET_HEADER, mTicket);
        }
        AttemptRequest request =
                new AttemptRequest(
                        mSpec.method(), mSpec.path(), headers, mSpec.body(), mSpec.sink());
        mServices
                .transport()
                .send(entry, request, attemptTimeout())
                .thenAccept(result -> onAttemptResult(entry, result));
    }

    private void onAttemptResult(URI entry, AttemptResult result) {
        if (result instanceof AttemptResult.Lost lost) {
            mServices.entries().markFailed(entry);
            if (lost.repeatable() && canRetry()) {
                startAttempt();
                return;
            }
            fail(lost.reason() + " (attempt " + mAttempts + " at " + entry + ")");
            return;
        }
        AttemptResult.Complete complete = (AttemptResult.Complete) result;
        mServices.entries().markWorking(entry);
        RefusalParser.parse(complete)
                .ifPresentOrElse(
                        this::onRefused,
                        () ->
                                mResult.complete(
                                        new CallResult.Whole(
                                                complete.status(),
                                                complete.headers(),
                                                complete.body(),
                                                complete.streamedBytes())));
    }

    private void onRefused(CallResult.Refused refusal) {
        Duration wait = refusal.retryAfter().plus(jitter(refusal.retryAfter()));
        boolean retry =
                refusal.ran() == Ran.NOT_RUN
                        && mSpec.ticket().isEmpty()
                        && mRefusals < mServices.limits().refusalRetries()
                        && mAttempts < mServices.limits().maxAttempts()
                        && wait.compareTo(remaining()) < 0;
        if (!retry) {
            mResult.complete(refusal);
            return;
        }
        mRefusals++;
        // The owner node never runs a call with a refused ticket, so a retry needs a new one.
        mTicket = "";
        mServices.scheduler().schedule(wait, this::startAttempt);
    }

    private boolean canRetry() {
        return mAttempts < mServices.limits().maxAttempts() && remaining().toMillis() > 0;
    }

    /** Half of the remaining time if another attempt may follow, to leave time for it. */
    private Duration attemptTimeout() {
        Duration remaining = remaining();
        return mAttempts < mServices.limits().maxAttempts() ? remaining.dividedBy(2) : remaining;
    }

    private Duration remaining() {
        return Duration.ofNanos(mDeadlineNanos - mServices.nanos().getAsLong());
    }

    /** Up to a quarter of the wait, so that refused callers do not retry at the same time. */
    private Duration jitter(Duration wait) {
        return Duration.ofNanos((long) (mServices.random().nextDouble() * wait.toNanos() / 4));
    }

    private void fail(String reason) {
        mResult.complete(new CallResult.Failed(reason));
    }
}
