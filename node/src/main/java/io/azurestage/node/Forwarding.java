package io.azurestage.node;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.context.RequestContext;
import io.azurestage.core.event.EventType;
import io.azurestage.core.once.Ticket;
import io.azurestage.core.retry.Allowance;
import io.azurestage.core.routing.AttemptResult;
import io.azurestage.core.routing.Endpoint;
import io.azurestage.core.routing.Pick;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;

/** One call on its way to a backend server of another service, over all of its attempts. */
final class Forwarding {
    private static final Duration MAX_BACKOFF = Duration.ofMillis(20);
    // The answer of a node that refuses at the deadline needs time to arrive.
    private static final long DEADLINE_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final int NONCE_BYTES = 16;

    private final Shared mShared;
    private final HttpClient mClient;
    private final Delay mDelay;
    private final Call mCall;
    private final Allowance mAllowance;
    private final Cancellation mCancellation;
    private final AnswerSink mSink;
    private final Set<NodeIdentity> mExclude = new HashSet<>();
    private Optional<Ticket> mOwnTicket = Optional.empty();
    private boolean mRetry;
    private boolean mMayHaveRun;

    Forwarding(
            Shared shared,
            HttpClient client,
            Delay delay,
            Call call,
            Allowance allowance,
            Cancellation cancellation,
            AnswerSink sink) {
        mShared = shared;
        mClient = client;
        mDelay = delay;
        mCall = call;
        mAllowance = allowance;
        mCancellation = cancellation;
        mSink = sink;
    }

    void start() {
        mRetry = mCall.retry();
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
            mSink.refuse(ticket().isPresent() ? ownerGone() : settle(ifNone));
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
            mOwnTicket = Optional.of(newTicket(e));
        }
        int lent = mAllowance.lend();
        RequestContext ctx = context(e, lent);
        Request request;
        try {
            request = request(e, ctx, left);
        } catch (IllegalArgumentException bad) {
            mAllowance.giveBack(lent);
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
        new Receiver(new Attempt(pick, ctx, lent)).send(request);
    }

    private Request request(Endpoint e, RequestContext ctx, long left) {
        Request r =
                mClient.newRequest("http://" + e.address() + mCall.target())
                        .method(mCall.method())
                        .timeout(left + DEADLINE_SLACK_NANOS, TimeUnit.NANOSECONDS)
                        .headers(
                                h -> {
                                    h.add(mCall.headers());
                                    h.put(Headers.SERVICE, mCall.service());
                                    h.put(Headers.CONTEXT, mShared.contexts().encode(ctx));
                                    ticket().ifPresent(t -> putTicket(h, t));
                                });
        if (mCall.body().length > 0) {
            // The Content-Type travels with the end-to-end header fields.
            r.body(new BytesRequestContent((String) null, mCall.body()));
        }
        return r;
    }

    private void putTicket(org.eclipse.jetty.http.HttpFields.Mutable h, Ticket t) {
        h.put(Headers.IDEMPOTENCY_KEY, t.encode(mShared.signer()));
    }

    private RequestContext context(Endpoint e, int lent) {
        return new RequestContext(
                mCall.id(),
                mCall.partner(),
                mCall.workClass(),
                mCall.deadline(),
                lent,
                mShared.randomId(),
                mCall.depth(),
                mCall.entryFraction(),
                mCall.repeatable(),
                mRetry,
                e.node(),
                mShared.clock().tick());
    }

    private Ticket newTicket(Endpoint e) {
        byte[] nonce = new byte[NONCE_BYTES];
        ThreadLocalRandom.current().nextBytes(nonce);
        Instant expiry = mShared.time().now().plusMillis(mShared.settings().ticketWindowMillis());
        return new Ticket(
                e.node(), e.service(), mCall.partner(), HexFormat.of().formatHex(nonce), expiry);
    }

    private static Refusal ownerGone() {
        return Refusal.unknown(
                RefusalKind.TICKET_UNKNOWN, "the node that the ticket names is not alive");
    }

    /** The final refusal: not-run only if no attempt may have run. */
    private Refusal settle(Refusal r) {
        if (mMayHaveRun && r.ran() == Ran.NOT_RUN) {
            return new Refusal(r.kind(), Ran.UNKNOWN, r.retryAfter(), r.detail());
        }
        return r;
    }

    private void refuse(RefusalKind kind, String detail) {
        mSink.refuse(settle(Refusal.notRun(kind, detail)));
    }

    private void retry(Refusal ifImpossible) {
        long left = mCall.deadlineNanos() - mShared.time().nanos();
        long backoff = ThreadLocalRandom.current().nextLong(MAX_BACKOFF.toNanos());
        if (left <= backoff || !mAllowance.tryRetry()) {
            mSink.refuse(settle(ifImpossible));
            return;
        }
        mRetry = true;
        mShared.metrics().retries().labelValues(mCall.service(), mCall.partner()).inc();
        mShared.event(
                EventType.RETRY_STARTED,
                mCall.id(),
                mCall.partner(),
                Map.of("service", mCall.service()));
        mDelay.schedule(Duration.ofNanos(backoff), () -> attempt(ifImpossible));
    }

    /** One attempt at one backend server. */
    private final class Attempt implements Reception {
        private final Pick mPick;
        private final RequestContext mContext;
        private final int mLent;
        private final long mStart = mShared.time().nanos();
        private final AtomicBoolean mDone = new AtomicBoolean();
        private StreamSink mStream;

        Attempt(Pick pick, RequestContext context, int lent) {
            mPick = pick;
            mContext = context;
            mLent = lent;
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
                mSink.whole(r.getStatus(), Headers.endToEnd(r.getHeaders(), true), body);
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
            // A service that sheds load must not get more of it; other nodes may still take it.
            boolean elsewhere =
                    notRun && (kind == RefusalKind.DRAINING || kind == RefusalKind.NOT_READY);
            if (elsewhere && mCall.ticket().isEmpty()) {
                mExclude.add(mPick.endpoint().node());
                mOwnTicket = Optional.empty();
                retry(r);
            } else {
                mSink.refuse(settle(r));
            }
        }

        @Override
        public StreamSink stream(Response r) {
            Optional<AnswerMeta> meta = meta(r);
            if (meta.isEmpty()) {
                r.abort(new IllegalStateException("the answer belongs to another attempt"));
                return new Ignore();
            }
            learn(meta.get());
            report(AttemptResult.ANSWERED, meta.get().load());
            mStream = mSink.stream(r.getStatus(), Headers.endToEnd(r.getHeaders(), true));
            return mStream;
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
                mStream.abort(cause);
                return;
            }
            if (!sent) {
                mAllowance.giveBack(mLent);
            } else {
                mMayHaveRun = true;
            }
            afterFailure(cause, sent, cancelled);
        }

        private void afterFailure(Throwable cause, boolean sent, boolean cancelled) {
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
            boolean ticketed = ticket().isPresent();
            if (!ticketed || (!sent && mCall.ticket().isEmpty())) {
                mExclude.add(mPick.endpoint().node());
                mOwnTicket = Optional.empty();
            }
            // A ticket makes a repeat at the same owner safe: it runs at most once there.
            if (!sent || ticketed || mCall.operation().idempotent()) {
                retry(r);
            } else {
                mSink.refuse(settle(r));
            }
        }

        private Optional<AnswerMeta> meta(Response r) {
            return mShared.answers()
                    .decode(r.getHeaders().get(Headers.ANSWER))
                    .filter(m -> m.requestId().equals(mCall.id()))
                    .filter(m -> m.attemptId() == mContext.attemptId());
        }

        private void learn(AnswerMeta m) {
            mShared.clock().receive(m.time());
            mAllowance.giveBack(Math.min(mLent, m.unusedAllowance()));
            mShared.levels().learn(mCall.chainKey(), m.levels());
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
            return mShared.answers().decode(r.getHeaders().get(Headers.ANSWER)).isPresent()
                    ? Duration.ofMillis(
                            Math.max(0, r.getHeaders().getLongField(Headers.RETRY_AFTER_MS)))
                    : Duration.ZERO;
        }

        private void report(AttemptResult result, double load) {
            if (mDone.compareAndSet(false, true)) {
                mPick.done(result, mShared.time().nanos() - mStart, load);
            }
        }
    }

    /** Takes the rest of an answer that was dropped. */
    private static final class Ignore implements StreamSink {
        @Override
        public void write(
                java.nio.ByteBuffer part,
                Runnable written,
                java.util.function.Consumer<Throwable> failed) {
            failed.accept(new IllegalStateException("the answer was dropped"));
        }

        @Override
        public void end() {}

        @Override
        public void abort(Throwable cause) {}
    }
}
