package io.azurestage.node;

import io.azurestage.core.admission.ServiceLevel;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.context.RequestContext;
import io.azurestage.core.event.EventType;
import io.azurestage.core.once.Ticket;
import io.azurestage.core.retry.Allowance;
import io.azurestage.core.retry.Attempt;
import io.azurestage.core.retry.AttemptOutcome;
import io.azurestage.core.retry.RetryDecision;
import io.azurestage.core.retry.RetryPolicy;
import io.azurestage.core.retry.RetryReservation;
import io.azurestage.core.routing.AttemptResult;
import io.azurestage.core.routing.Endpoint;
import io.azurestage.core.routing.Pick;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpVersion;

/** One call to a backend server of another service, including all of its attempts. */
final class ForwardedCall {
    private static final RetryPolicy RETRIES = RetryPolicy.defaults();
    // Leaves time for the answer of a node that refuses the call at its deadline to arrive.
    private static final long DEADLINE_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final NodeContext mNode;
    private final HttpClient mClient;
    private final ConnectionGenerations mGenerations;
    private final DelayScheduler mDelay;
    private final Call mCall;
    private final Allowance mAllowance;
    private final Cancellation mCancellation;
    private final AnswerSink mSink;
    private final Consumer<List<ServiceLevel>> mOnLevels;
    private final Set<NodeIdentity> mExclude = new HashSet<>();
    private Optional<Ticket> mOwnTicket = Optional.empty();
    private int mRetries;
    private boolean mMayHaveRun;
    private volatile ResumableTransfer mTransfer;

    ForwardedCall(
            NodeContext node,
            HttpClient client,
            ConnectionGenerations generations,
            DelayScheduler delay,
            Call call,
            Allowance allowance,
            Cancellation cancellation,
            Consumer<List<ServiceLevel>> onLevels,
            AnswerSink sink) {
        mNode = node;
        mClient = client;
        mGenerations = generations;
        mDelay = delay;
        mCall = call;
        mAllowance = allowance;
        mCancellation = cancellation;
        mSink = sink;
        mOnLevels = onLevels;
    }

    void start() {
        attempt(Refusal.notRun(RefusalKind.NO_BACKEND_SERVER, "no backend server is known"));
    }

    private void attempt(Refusal ifNone) {
        if (mCancellation.isCancelled()) {
            refuse(RefusalKind.CANCELLED, "the caller went away");
            return;
        }
        long left = mCall.deadlineNanos() - mNode.time().nanos();
        if (left <= 0) {
            refuse(RefusalKind.DEADLINE_EXCEEDED, "the deadline passed before an attempt");
            return;
        }
        Optional<Pick> pick = pick();
        if (pick.isEmpty()) {
            finish(
                    ticket().isPresent()
                            ? Refusal.ticketOwnerUnavailable()
                            : withAttemptHistory(ifNone));
            return;
        }
        send(pick.get(), left);
    }

    private Optional<Pick> pick() {
        Optional<Ticket> ticket = ticket();
        if (ticket.isPresent()) {
            return mNode.router().find(ticket.get().owner());
        }
        return mNode.router().pick(mCall.service(), mExclude);
    }

    private Optional<Ticket> ticket() {
        return mCall.ticket().isPresent() ? mCall.ticket() : mOwnTicket;
    }

    private void send(Pick pick, long left) {
        Endpoint e = pick.endpoint();
        if (!mCall.operation().idempotent() && ticket().isEmpty()) {
            mOwnTicket = Optional.of(mNode.tickets().issue(e.node(), e.service(), mCall.partner()));
        }
        RetryReservation reservation = mAllowance.reserve();
        boolean retry = mRetries > 0 || mCall.retry();
        RequestContext ctx =
                mCall.context(
                        e.node(),
                        mNode.randomId(),
                        reservation.retries(),
                        retry,
                        mNode.clock().tick());
        long generation = mGenerations.current(e.address());
        Request request;
        try {
            request = request(e, ctx, left).tag(generation);
        } catch (IllegalArgumentException bad) {
            reservation.returnUnused(reservation.retries());
            pick.done(AttemptResult.CANCELLED, 0, -1);
            refuse(RefusalKind.BAD_REQUEST, "the path is not valid: " + bad.getMessage());
            return;
        }
        mNode.metrics().attempts().labelValues(mCall.service()).inc();
        mNode.event(
                EventType.ATTEMPT_STARTED,
                mCall.id(),
                mCall.partner(),
                Map.of("service", mCall.service(), "to", e.node().nodeId()));
        mCancellation.onCancel(() -> request.abort(new CallerGoneException()));
        new ResponseReceiver(
                        new AttemptHandler(pick, ctx, reservation, generation), HttpVersion.HTTP_2)
                .send(request);
    }

    private Request request(Endpoint e, RequestContext ctx, long left) {
        Request r =
                mClient.newRequest("http://" + e.address() + mCall.target())
                        .method(mCall.method())
                        .timeout(left + DEADLINE_SLACK_NANOS, TimeUnit.NANOSECONDS)
                        .headers(h -> fill(h, ctx));
        if (mCall.body().length > 0) {
            // Content-Type is among the end-to-end header fields.
            r.body(new BytesRequestContent((String) null, mCall.body()));
        }
        return r;
    }

    private void fill(HttpFields.Mutable h, RequestContext ctx) {
        h.add(mCall.headers());
        h.put(Headers.SERVICE, mCall.service());
        h.put(Headers.CONTEXT, mNode.contexts().encode(ctx));
        ticket().ifPresent(t -> h.put(Headers.IDEMPOTENCY_KEY, t.encode(mNode.signer())));
        if (mTransfer != null) {
            mTransfer.addRangeHeaders(h);
        }
    }

    /**
     * Returns the refusal to report to the caller: not-run only if no attempt can have run. If the
     * caller supplied a ticket, an earlier call may have run too, so only the node named by the
     * ticket can report not-run.
     */
    private Refusal withAttemptHistory(Refusal r) {
        boolean mayHaveRun = mMayHaveRun || mCall.ticket().isPresent();
        return mayHaveRun && r.ran() == Ran.NOT_RUN ? r.withUnknownExecution() : r;
    }

    private void refuse(RefusalKind kind, String detail) {
        finish(withAttemptHistory(Refusal.notRun(kind, detail)));
    }

    /** Refuses the call, or aborts the answer if a part of it has already been passed on. */
    private void finish(Refusal r) {
        if (mTransfer == null) {
            mSink.refuse(r);
        } else {
            mTransfer.abort(new IOException(r.detail()));
        }
    }

    /** Retries if the policy and the remaining allowance permit it; otherwise refuses the call. */
    private void afterFailure(
            AttemptOutcome outcome, boolean ownerOnly, Endpoint tried, Refusal ifGivenUp) {
        Duration left = Duration.ofNanos(mCall.deadlineNanos() - mNode.time().nanos());
        RetryDecision d =
                RETRIES.decide(
                        new Attempt(
                                outcome,
                                mCall.operation().idempotent(),
                                ownerOnly,
                                mRetries,
                                left,
                                mAllowance.left()),
                        ThreadLocalRandom.current());
        if (d instanceof RetryDecision.GiveUp || !mAllowance.tryRetry()) {
            finish(ifGivenUp);
            return;
        }
        mRetries++;
        mNode.metrics().retries().labelValues(mCall.service(), mCall.partner()).inc();
        mNode.event(
                EventType.RETRY_STARTED,
                mCall.id(),
                mCall.partner(),
                Map.of("service", mCall.service()));
        if (d instanceof RetryDecision.RetryElsewhere elsewhere) {
            mExclude.add(tried.node());
            mOwnTicket = Optional.empty();
            mDelay.schedule(elsewhere.delay(), () -> attempt(ifGivenUp));
        } else if (d instanceof RetryDecision.RetrySameOwner same) {
            mDelay.schedule(same.delay(), () -> attempt(ifGivenUp));
        }
    }

    /** One attempt at one backend server. */
    private final class AttemptHandler implements ResponseHandler {
        private final Pick mPick;
        private final RequestContext mContext;
        private final RetryReservation mReservation;
        private final long mGeneration;
        private final long mStart = mNode.time().nanos();
        private final AtomicBoolean mDone = new AtomicBoolean();
        private StreamSink mStream;

        AttemptHandler(
                Pick pick, RequestContext context, RetryReservation reservation, long generation) {
            mGeneration = generation;
            mPick = pick;
            mContext = context;
            mReservation = reservation;
        }

        @Override
        public void received(Response r, byte[] body) {
            Optional<AnswerMeta> meta = meta(r);
            if (meta.isEmpty()) {
                dropForeignAnswer();
                return;
            }
            AnswerMeta m = meta.get();
            learn(m);
            if (m.kind().isEmpty()) {
                report(AttemptResult.ANSWERED, m.load());
                if (mTransfer == null) {
                    mSink.respond(r.getStatus(), Headers.endToEnd(r.getHeaders(), true), body);
                } else {
                    mTransfer.writeRemainder(r, body);
                }
                return;
            }
            refused(m, RefusalKind.parse(m.kind()), retryAfter(r));
        }

        private void refused(AnswerMeta m, RefusalKind kind, Duration retryAfter) {
            boolean notRun = m.ran() == AnswerMeta.RanState.NOT_RUN;
            mMayHaveRun |= !notRun;
            Refusal r =
                    new Refusal(
                            kind,
                            notRun ? Ran.NOT_RUN : Ran.UNKNOWN,
                            retryAfter,
                            "refused by the node of service " + mCall.service());
            report(
                    kind == RefusalKind.DRAINING
                            ? AttemptResult.DRAINING
                            : notRun ? AttemptResult.REFUSED : AttemptResult.FAILED,
                    m.load());
            // The node named by a ticket seals it before it reports not-run, so the report is
            // final.
            Refusal reported = ticket().isPresent() ? r : withAttemptHistory(r);
            if (!notRun) {
                finish(reported);
                return;
            }
            boolean ownerOnly = mCall.ticket().isPresent();
            afterFailure(kind.outcome(retryAfter), ownerOnly, mPick.endpoint(), reported);
        }

        @Override
        public StreamSink stream(Response r) {
            Optional<AnswerMeta> meta = meta(r);
            if (meta.isEmpty()) {
                r.abort(new IllegalStateException("the answer belongs to another attempt"));
                return new RejectingStream();
            }
            learn(meta.get());
            report(AttemptResult.ANSWERED, meta.get().load());
            mStream = openStream(r);
            return mStream;
        }

        private StreamSink openStream(Response r) {
            if (mTransfer != null) {
                return mTransfer.resume(r).orElseGet(RejectingStream::new);
            }
            HttpFields headers = Headers.endToEnd(r.getHeaders(), true);
            mTransfer = ResumableTransfer.start(mCall, r, mSink.stream(r.getStatus(), headers));
            return mTransfer.first();
        }

        @Override
        public void streamEnded(Response r) {
            mStream.end();
        }

        @Override
        public void failed(Throwable cause, boolean sent, long streamed) {
            boolean cancelled = cause instanceof CallerGoneException;
            mGenerations.failed(mPick.endpoint().address(), mGeneration, cause);
            report(cancelled ? AttemptResult.CANCELLED : AttemptResult.FAILED, -1);
            mNode.event(
                    EventType.ATTEMPT_FAILED,
                    mCall.id(),
                    mCall.partner(),
                    Map.of("to", mPick.endpoint().node().nodeId(), "cause", String.valueOf(cause)));
            if (mStream != null) {
                mTransfer.onInterrupted(() -> resume(cause, cancelled));
                return;
            }
            if (!sent) {
                mReservation.returnUnused(mReservation.retries());
            } else {
                mMayHaveRun = true;
            }
            giveUpOrRetry(cause, sent, cancelled);
        }

        private void resume(Throwable cause, boolean cancelled) {
            if (cancelled || cause instanceof TimeoutException || !mTransfer.isResumable()) {
                mTransfer.abort(cause);
                return;
            }
            Refusal r = Refusal.unknown(RefusalKind.BROKEN_ANSWER, "the answer broke off");
            afterFailure(new AttemptOutcome.LostAnswer(), false, mPick.endpoint(), r);
        }

        private void giveUpOrRetry(Throwable cause, boolean sent, boolean cancelled) {
            if (cancelled) {
                refuse(RefusalKind.CANCELLED, "the caller went away");
                return;
            }
            if (cause instanceof TimeoutException) {
                refuse(RefusalKind.DEADLINE_EXCEEDED, "no answer before the deadline");
                return;
            }
            Refusal r =
                    new Refusal(
                            RefusalKind.BROKEN_ANSWER,
                            sent ? Ran.UNKNOWN : Ran.NOT_RUN,
                            Duration.ZERO,
                            "the connection to service " + mCall.service() + " failed");
            // The node named by a ticket runs it at most once, so a retry there is safe.
            boolean ownerOnly = sent ? ticket().isPresent() : mCall.ticket().isPresent();
            afterFailure(
                    sent ? new AttemptOutcome.LostAnswer() : new AttemptOutcome.ConnectFailed(),
                    ownerOnly,
                    mPick.endpoint(),
                    withAttemptHistory(r));
        }

        private Optional<AnswerMeta> meta(Response r) {
            return mNode.answers()
                    .decode(r.getHeaders().get(Headers.ANSWER))
                    .filter(m -> m.requestId().equals(mCall.id()))
                    .filter(m -> m.attemptId() == mContext.attemptId());
        }

        private void learn(AnswerMeta m) {
            mNode.clock().receive(m.time());
            mReservation.returnUnused(m.unusedAllowance());
            mNode.levels().learn(mCall.chainKey(), m.levels());
            mOnLevels.accept(m.levels());
        }

        private void dropForeignAnswer() {
            mNode.metrics().dropped().labelValues("foreign").inc();
            mNode.event(
                    EventType.ANSWER_DROPPED,
                    mCall.id(),
                    mCall.partner(),
                    Map.of("from", mPick.endpoint().node().nodeId()));
            failed(new IllegalStateException("the answer belongs to another attempt"), true, -1);
        }

        private Duration retryAfter(Response r) {
            return Duration.ofMillis(
                    Math.max(0, r.getHeaders().getLongField(Headers.RETRY_AFTER_MS)));
        }

        private void report(AttemptResult result, double load) {
            if (mDone.compareAndSet(false, true)) {
                mPick.done(result, mNode.time().nanos() - mStart, load);
            }
        }
    }
}
