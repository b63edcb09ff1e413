package io.azurestage.node;

import io.azurestage.config.Operation;
import io.azurestage.config.ServiceSpec;
import io.azurestage.core.context.ContextResult;
import io.azurestage.core.context.RequestContext;
import io.azurestage.core.context.RequestId;
import io.azurestage.core.event.EventType;
import io.azurestage.core.once.Ticket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Handles attempts that other nodes send to the local backend server. */
final class PeerCallHandler {
    private final NodeContext mNode;
    private final BackendDispatcher mDispatcher;
    private final InFlightCalls mInFlight;

    PeerCallHandler(NodeContext node, BackendDispatcher dispatcher, InFlightCalls inFlight) {
        mNode = node;
        mDispatcher = dispatcher;
        mInFlight = inFlight;
    }

    void handle(Request request, Response response, Callback callback) {
        ContextResult result = mNode.contexts().decode(request.getHeaders().get(Headers.CONTEXT));
        if (result instanceof ContextResult.Valid valid) {
            mNode.bounds().lift(request);
            accept(valid.context(), request, response, callback);
        } else {
            refuseContext(result, response, callback);
        }
    }

    private void refuseContext(ContextResult result, Response response, Callback callback) {
        RequestId id = RequestId.random(ThreadLocalRandom.current());
        String reason = result.getClass().getSimpleName();
        mNode.metrics().contextRefused().labelValues(reason).inc();
        mNode.event(EventType.CONTEXT_REFUSED, id, "", Map.of("reason", reason));
        Replies.refuse(
                mNode,
                id,
                response,
                callback,
                Refusal.notRun(
                        RefusalKind.INVALID_CONTEXT, "the context is not accepted: " + reason));
    }

    private void accept(RequestContext ctx, Request request, Response response, Callback callback) {
        mNode.clock().receive(ctx.time());
        long deadlineNanos = mNode.nanosOf(ctx.deadline());
        if (deadlineNanos - mNode.time().nanos() <= 0) {
            Refusal late =
                    Refusal.notRun(RefusalKind.DEADLINE_EXCEEDED, "the deadline passed on the way");
            refuseAfterBody(ctx, late, request, response, callback);
            return;
        }
        if (!mNode.activeRequests().registerAttempt(ctx.attemptId(), deadlineNanos)) {
            mNode.metrics().contextRefused().labelValues("Duplicate").inc();
            // The first copy may be running, so the execution state of the attempt is unknown.
            Refusal r = Refusal.unknown(RefusalKind.INVALID_CONTEXT, "the attempt was seen before");
            RequestId id = ctx.requestId();
            afterBody(request, () -> Replies.refuse(mNode, id, response, callback, r));
            return;
        }
        if (mNode.lifecycle() == Lifecycle.JOINING) {
            refuseAfterBody(ctx, Replies.notReady(), request, response, callback);
            return;
        }
        int limit = mNode.settings().maxBodyBytes();
        RequestBody.readToEnd(request, limit, mNode.bounds())
                .whenComplete(
                        (body, failure) -> {
                            if (failure == null) {
                                run(ctx, deadlineNanos, body, request, response, callback);
                            } else {
                                answerFor(ctx, response, callback)
                                        .refuse(
                                                EntryHandler.withRepeatUncertainty(
                                                        request,
                                                        Replies.unreadableBody(failure, limit)));
                            }
                        });
    }

    private void refuseAfterBody(
            RequestContext ctx,
            Refusal refusal,
            Request request,
            Response response,
            Callback callback) {
        AnswerSink answer = answerFor(ctx, response, callback);
        Refusal r = EntryHandler.withRepeatUncertainty(request, refusal);
        afterBody(request, () -> answer.refuse(r));
    }

    /**
     * Reads and drops the body before an answer. Otherwise the stream is reset after the answer,
     * and the client of the other node drops it.
     */
    private static void afterBody(Request request, Runnable answer) {
        Content.Source.consumeAll(request, Callback.from(answer, t -> answer.run()));
    }

    private void run(
            RequestContext ctx,
            long deadlineNanos,
            byte[] body,
            Request request,
            Response response,
            Callback callback) {
        Call call = call(ctx, deadlineNanos, body, request);
        Cancellation cancellation = new Cancellation();
        ActiveRequest active =
                new ActiveRequest(
                        ctx,
                        ctx.repeatable() || call.mayRunAgain(),
                        cancellation,
                        call.ticket().isPresent(),
                        mNode.time());
        ResponseSink sink =
                new ResponseSink(
                        response,
                        callback,
                        ctx.requestId().toString(),
                        o -> answerHeader(ctx, call, active, o));
        if (!mNode.settings().service().equals(call.service())) {
            sink.refuse(
                    EntryHandler.withRepeatUncertainty(
                            request,
                            Refusal.notRun(
                                    RefusalKind.NO_BACKEND_SERVER,
                                    "this node serves " + mNode.settings().service())));
            return;
        }
        request.addFailureListener(t -> cancellation.cancel());
        mDispatcher.handle(call, ctx, active, mInFlight.track(call, sink));
    }

    private HttpFields answerHeader(
            RequestContext ctx, Call call, ActiveRequest active, ResponseSink.Outcome o) {
        AnswerMeta meta =
                new AnswerMeta(
                        ctx.requestId(),
                        ctx.attemptId(),
                        o.ran(),
                        o.kind(),
                        active.allowance().close(),
                        mDispatcher.levels(call, active),
                        mDispatcher.load(),
                        mNode.clock().tick());
        return HttpFields.build().put(Headers.ANSWER, mNode.answers().encode(meta));
    }

    /** Returns a sink for refusals that are sent before the call has been parsed. */
    private AnswerSink answerFor(RequestContext ctx, Response response, Callback callback) {
        return new ResponseSink(
                response,
                callback,
                ctx.requestId().toString(),
                o ->
                        HttpFields.build()
                                .put(
                                        Headers.ANSWER,
                                        mNode.answers()
                                                .encode(
                                                        new AnswerMeta(
                                                                ctx.requestId(),
                                                                ctx.attemptId(),
                                                                o.ran(),
                                                                o.kind(),
                                                                ctx.allowance(),
                                                                List.of(),
                                                                mDispatcher.load(),
                                                                mNode.clock().tick()))));
    }

    private Call call(RequestContext ctx, long deadlineNanos, byte[] body, Request request) {
        HttpFields h = request.getHeaders();
        String service = String.valueOf(h.get(Headers.SERVICE));
        Operation op =
                mNode.config()
                        .service(service)
                        .orElse(new ServiceSpec(service, List.of()))
                        .operation(request.getMethod(), request.getHttpURI().getPath());
        String key = h.get(Headers.IDEMPOTENCY_KEY);
        Optional<Ticket> ticket =
                key == null ? Optional.empty() : Ticket.decode(key, mNode.signer());
        return new Call(
                ctx.requestId(),
                ctx.partner(),
                ctx.workClass(),
                ctx.deadline(),
                deadlineNanos,
                service,
                op,
                request.getMethod(),
                request.getHttpURI().getPathQuery(),
                Headers.endToEnd(h, true),
                body,
                ticket,
                ctx.depth(),
                ctx.entryFraction(),
                ctx.repeatable(),
                ctx.retry());
    }
}
