package io.azurestage.node;

import io.azurestage.core.admission.ServiceLevel;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.context.RequestContext;
import io.azurestage.core.event.EventType;
import io.azurestage.core.once.Ticket;
import io.azurestage.core.retry.Allowance;
import io.azurestage.core.retry.Attempt;
import io.azurestage.core.retry.AttemptOutcome;
import io.azurestage.core.retry.Loan;
import io.azurestage.core.retry.RetryDecision;
import io.azurestage.core.retry.RetryPolicy;
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

/** One call on its way to a backend server of another service, over all of its attempts. */
final class Forwarding {
    private static final RetryPolicy RETRIES = RetryPolicy.defaults();
    // The answer of a node that refuses at the deadline needs time to arrive.
    private static final long DEADLINE_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final Shared mShared;
    private final HttpClient mClient;
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
    private volatile Resumption mTransfer;

    Forwarding(
            Shared shared,
            HttpClient client,
            DelayScheduler delay,
            Call call,
            Allowance allowance,
            Cancellation cancellation,
            Consumer<List<ServiceLevel>> onLevels,
            AnswerSink sink) {
        mShared = shared;
        mClient = client;
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
        long left = mCall.deadlineNanos() - mShared.time().nanos();
        if (left <= 0) {
            refuse(RefusalKind.DEADLINE_EXCEEDED, "the deadline passed before an attempt");
            return;
        }
        Optional<Pick> pick = pick();
        if (pick.isEmpty()) {
            finish(ticket().isPresent() ? Refusal.ownerGone() : settle(ifNone));
            return;
        }
        send(pick.get(), left);
    }

    private Optional<Pick> pick() {
        Optional<Ticket> ticket = ticket();
        if (ticket.isPresent()) {
            return mShared.router().find(ticket.get().owner());
        }
        return mShared.router().pick(mCall.service(), mExclude);
    }

    private Optional<Ticket> ticket() {
        return mCall.ticket().isPresent() ? mCall.ticket() : mOwnTicket;
    }

    private void send(Pick pick, long left) {
        Endpoint e = pick.endpoint();
        if (!mCall.operation().idempotent() && ticket().isEmpty()) {
            mOwnTicket =
                    Optional.of(mShared.tickets().issue(e.node(), e.service(), mCall.partner()));
        }
        Loan loan = mAllowance.loan();
        boolean retry = mRetries > 0 || mCall.retry();
        RequestContext ctx =
                mCall.context(
                        e.node(),
                        mShared.randomId(),
                        loan.retries(),
                        retry,
                        mShared.clock().tick());
        Request request;
        try {
            request = request(e, ctx, left);
        } catch (IllegalArgumentException bad) {
            loan.giveBack(loan.retries());
            pick.done(AttemptResult.CANCELLED, 0, -1);
            refuse(RefusalKind.BAD_REQUEST, "the path is not valid: " + bad.getMessage());
            return;
        }
        mShared.metrics().attempts().labelValues(mCall.service()).inc();
        mShared.event(
                EventType.ATTEMPT_STARTED,
                mCall.id(),
                mCall.partner(),
                Map.of("service", mCall.service(), "to", e.node().nodeId()));
        mCancellation.onCancel(() -> request.abort(new CallerGoneException()));
        new Receiver(new Sent(pick, ctx, loan)).send(request);
    }

    private Request request(Endpoint e, RequestContext ctx, long left) {
        Request r =
                mClient.newRequest("http://" + e.address() + mCall.target())
                        .method(mCall.method())
                        .timeout(left + DEADLINE_SLACK_NANOS, TimeUnit.NANOSECONDS)
                        .headers(h -> fill(h, ctx));
        if (mCall.body().length > 0) {
            // The Content-Type travels with the end-to-end header fields.
            r.body(new BytesRequestContent((String) null, mCall.body()));
        }
        return r;
    }

    private void fill(HttpFields.Mutable h, RequestContext ctx) {
        h.add(mCall.headers());
        h.put(Headers.SERVICE, mCall.service());
        h.put(Headers.CONTEXT, mShared.contexts().encode(ctx));
        ticket().ifPresent(t -> h.put(Headers.IDEMPOTENCY_KEY, t.encode(mShared.signer())));
        if (mTransfer != null) {
            mTransfer.ask(h);
        }
    }

    /**
     * The final refusal: not-run only if no attempt may have run. With the caller's ticket an
     * earlier call may have run too, so only the owner can say not-run.
     */
    private Refusal settle(Refusal r) {
        boolean doubt = mMayHaveRun || mCall.ticket().isPresent();
        return doubt && r.ran() == Ran.NOT_RUN ? r.maybeRan() : r;
    }

    private void refuse(RefusalKind kind, String detail) {
        finish(settle(Refusal.notRun(kind, detail)));
    }

    /** Refuses; an answer that has begun can only be cut off. */
    private void finish(Refusal r) {
        if (mTransfer == null) {
            mSink.refuse(r);
        } else {
            mTransfer.abort(new IOException(r.detail()));
        }
    }

    /** Retries if the policy allows it and a retry is left, or else refuses. */
    private void afterFailure(
            AttemptOutcome outcome, boolean ownerOnly, Endpoint tried, Refusal ifGivenUp) {
        Duration left = Duration.ofNanos(mCall.deadlineNanos() - mShared.time().nanos());
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
        mShared.metrics().retries().labelValues(mCall.service(), mCall.partner()).inc();
        mShared.event(
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
    private final class Sent implements Reception {
        private final Pick mPick;
        private final RequestContext mContext;
        private final Loan mLoan;
        private final long mStart = mShared.time().nanos();
        private final AtomicBoolean mDone = new AtomicBoolean();
        private StreamSink mStream;

        Sent(Pick pick, RequestContext context, Loan loan) {
            mPick = pick;
            mContext = context;
            mLoan = loan;
        }

        @Override
        public void whole(Response r, byte[] body) {
            Optional<AnswerMeta> meta = meta(r);
            if (meta.isEmpty()) {
                foreign();
                return;
            }
            AnswerMeta m = meta.get();
            learn(m);
            if (m.kind().isEmpty()) {
                report(AttemptResult.ANSWERED, m.load());
                if (mTransfer == null) {
                    mSink.whole(r.getStatus(), Headers.endToEnd(r.getHeaders(), true), body);
                } else {
                    mTransfer.last(r, body);
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
            // The owner of a ticket seals it before it says not-run, so that is certain.
            Refusal certain = ticket().isPresent() ? r : settle(r);
            if (!notRun) {
                finish(certain);
                return;
            }
            boolean ownerOnly = mCall.ticket().isPresent();
            afterFailure(kind.outcome(retryAfter), ownerOnly, mPick.endpoint(), certain);
        }

        @Override
        public StreamSink stream(Response r) {
            Optional<AnswerMeta> meta = meta(r);
            if (meta.isEmpty()) {
                r.abort(new IllegalStateException("the answer belongs to another attempt"));
                return new DroppedStream();
            }
            learn(meta.get());
            report(AttemptResult.ANSWERED, meta.get().load());
            mStream = part(r);
            return mStream;
        }

        private StreamSink part(Response r) {
            if (mTransfer != null) {
                return mTransfer.next(r).orElseGet(DroppedStream::new);
            }
            HttpFields headers = Headers.endToEnd(r.getHeaders(), true);
            mTransfer = Resumption.start(mCall, r, mSink.stream(r.getStatus(), headers));
            return mTransfer.first();
        }

        @Override
        public void streamEnded(Response r) {
            mStream.end();
        }

        @Override
        public void failed(Throwable cause, boolean sent, long streamed) {
            boolean cancelled = cause instanceof CallerGoneException;
            report(cancelled ? AttemptResult.CANCELLED : AttemptResult.FAILED, -1);
            mShared.event(
                    EventType.ATTEMPT_FAILED,
                    mCall.id(),
                    mCall.partner(),
                    Map.of("to", mPick.endpoint().node().nodeId(), "cause", String.valueOf(cause)));
            if (mStream != null) {
                mTransfer.broken(() -> resume(cause, cancelled));
                return;
            }
            if (!sent) {
                mLoan.giveBack(mLoan.retries());
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
            // A ticket makes a repeat at the same owner safe: it runs at most once there.
            boolean ownerOnly = sent ? ticket().isPresent() : mCall.ticket().isPresent();
            afterFailure(
                    sent ? new AttemptOutcome.LostAnswer() : new AttemptOutcome.ConnectFailed(),
                    ownerOnly,
                    mPick.endpoint(),
                    settle(r));
        }

        private Optional<AnswerMeta> meta(Response r) {
            return mShared.answers()
                    .decode(r.getHeaders().get(Headers.ANSWER))
                    .filter(m -> m.requestId().equals(mCall.id()))
                    .filter(m -> m.attemptId() == mContext.attemptId());
        }

        private void learn(AnswerMeta m) {
            mShared.clock().receive(m.time());
            mLoan.giveBack(m.unusedAllowance());
            mShared.levels().learn(mCall.chainKey(), m.levels());
            mOnLevels.accept(m.levels());
        }

        private void foreign() {
            mShared.metrics().dropped().labelValues("foreign").inc();
            mShared.event(
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
                mPick.done(result, mShared.time().nanos() - mStart, load);
            }
        }
    }
}
