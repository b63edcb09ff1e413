package io.azurestage.node;

import io.azurestage.config.Operation;
import io.azurestage.config.ServiceSpec;
import io.azurestage.config.WorkClass;
import io.azurestage.core.context.ContextResult;
import io.azurestage.core.context.RequestContext;
import io.azurestage.core.context.RequestId;
import io.azurestage.core.event.EventType;
import io.azurestage.core.retry.Allowance;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Handles outgoing calls of the local backend server. */
final class EgressHandler extends Handler.Abstract.NonBlocking {
    /** Call depth in hops beyond which a cycle in the service call graph is assumed. */
    static final int MAX_DEPTH = 32;

    // A sub-call is refused if its rank is at least this factor times the admitted fraction.
    private static final double ADMITTED_FRACTION_FACTOR = 2;

    private final NodeContext mNode;
    private final Forwarder mForwarder;
    private final InFlightCalls mInFlight;

    EgressHandler(NodeContext node, Forwarder forwarder, InFlightCalls inFlight) {
        mNode = node;
        mForwarder = forwarder;
        mInFlight = inFlight;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        Optional<Refusal> early = early(request);
        if (early.isPresent()) {
            RequestId id = RequestId.random(ThreadLocalRandom.current());
            Refusal r = EntryHandler.withRepeatUncertainty(request, early.get());
            Replies.refuse(mNode, id, response, callback, r);
            return true;
        }
        String header = request.getHeaders().get(Headers.CONTEXT);
        if (header == null) {
            read(Optional.empty(), request, response, callback);
            return true;
        }
        ContextResult result = mNode.contexts().decode(header);
        Optional<ActiveRequest> parent =
                result instanceof ContextResult.Valid valid
                        ? mNode.activeRequests().find(valid.context().attemptId())
                        : Optional.empty();
        if (parent.isEmpty()) {
            refuseContext(result, response, callback);
        } else {
            read(parent, request, response, callback);
        }
        return true;
    }

    /** Returns a refusal for which the request need not be read. */
    private Optional<Refusal> early(Request request) {
        if (mNode.lifecycle() == Lifecycle.JOINING) {
            return Optional.of(Replies.notReady());
        }
        return mNode.bounds().connections().makeRoom(request)
                ? Optional.empty()
                : Optional.of(Replies.tooManyConnections());
    }

    private void refuseContext(ContextResult result, Response response, Callback callback) {
        boolean ended = result instanceof ContextResult.Valid;
        String reason = ended ? "Ended" : result.getClass().getSimpleName();
        RequestId id =
                result instanceof ContextResult.Valid valid
                        ? valid.context().requestId()
                        : RequestId.random(ThreadLocalRandom.current());
        mNode.metrics().contextRefused().labelValues(reason).inc();
        mNode.event(EventType.CONTEXT_REFUSED, id, "", Map.of("reason", reason));
        Replies.refuse(
                mNode,
                id,
                response,
                callback,
                Refusal.notRun(
                        RefusalKind.INVALID_CONTEXT,
                        ended
                                ? "the request that this context belongs to has ended"
                                : "the context is not accepted: " + reason));
    }

    private void read(
            Optional<ActiveRequest> parent, Request request, Response response, Callback callback) {
        int limit = mNode.settings().maxBodyBytes();
        RequestBody.read(request, limit, mNode.bounds())
                .whenComplete(
                        (body, failure) -> {
                            if (failure == null) {
                                forward(parent, request, body, response, callback);
                            } else {
                                Replies.refuse(
                                        mNode,
                                        RequestId.random(ThreadLocalRandom.current()),
                                        response,
                                        callback,
                                        Replies.unreadableBody(failure, limit));
                            }
                        });
    }

    private void forward(
            Optional<ActiveRequest> parent,
            Request request,
            byte[] body,
            Response response,
            Callback callback) {
        String service = request.getHeaders().get(Headers.SERVICE);
        Optional<ServiceSpec> spec =
                service == null ? Optional.empty() : mNode.config().service(service);
        RequestId id =
                parent.map(p -> p.context().requestId())
                        .orElseGet(() -> RequestId.random(ThreadLocalRandom.current()));
        if (spec.isEmpty()) {
            Replies.refuse(
                    mNode,
                    id,
                    response,
                    callback,
                    Refusal.notRun(
                            RefusalKind.UNKNOWN_SERVICE,
                            "Azurestage-Service names no configured service"));
            return;
        }
        Operation op = spec.get().operation(request.getMethod(), request.getHttpURI().getPath());
        Call call =
                parent.map(p -> subCall(p, spec.get(), op, request, body))
                        .orElseGet(() -> background(id, spec.get(), op, request, body));
        AnswerSink sink =
                mInFlight.track(
                        call,
                        new ResponseSink(response, callback, id.toString(), o -> HttpFields.EMPTY));
        Optional<Refusal> refusal = refusal(parent, call);
        if (refusal.isPresent()) {
            sink.refuse(refusal.get());
            return;
        }
        send(parent, call, sink);
    }

    private void send(Optional<ActiveRequest> parent, Call call, AnswerSink sink) {
        if (parent.isEmpty()) {
            mForwarder.forward(call, new Allowance(0), new Cancellation(), l -> {}, sink);
            return;
        }
        ActiveRequest p = parent.get();
        p.subCallStarted();
        mForwarder.forward(
                call,
                p.allowance(),
                p.subCallCancellation(),
                p::recordLevels,
                new SubCallSink(sink, p::subCallEnded));
    }

    private Optional<Refusal> refusal(Optional<ActiveRequest> parent, Call call) {
        if (call.depth() > MAX_DEPTH) {
            return Optional.of(
                    Refusal.notRun(
                            RefusalKind.TOO_DEEP, "the chain is over " + MAX_DEPTH + " deep"));
        }
        if (parent.isPresent() && parent.get().isRepeatable() && !call.operation().idempotent()) {
            return Optional.of(
                    Refusal.notRun(
                            RefusalKind.TICKET_REQUIRED,
                            "a request that may be run again cannot make a call that may not"));
        }
        // The entry node has already admitted this request, so it is refused here only if the
        // admitted fraction has dropped clearly since then.
        double bound = ADMITTED_FRACTION_FACTOR * mNode.levels().fraction(call.chainKey());
        if (call.id().rank() >= bound) {
            return Optional.of(
                    Refusal.notRun(RefusalKind.OVERLOADED, "a service of the chain is overloaded"));
        }
        return Optional.empty();
    }

    private Call subCall(
            ActiveRequest p, ServiceSpec spec, Operation op, Request request, byte[] body) {
        RequestContext c = p.context();
        Call call =
                new Call(
                        c.requestId(),
                        c.partner(),
                        c.workClass(),
                        c.deadline(),
                        mNode.nanosOf(c.deadline()),
                        spec.name(),
                        op,
                        request.getMethod(),
                        request.getHttpURI().getPathQuery(),
                        Headers.endToEnd(request.getHeaders(), true),
                        body,
                        Optional.empty(),
                        c.depth() + 1,
                        p.entryFraction(),
                        p.isRepeatable(),
                        c.retry());
        double below = mNode.levels().fraction(call.chainKey());
        return call.withEntryFraction(Math.min(below, call.entryFraction()));
    }

    /**
     * Creates a call that belongs to no request. It has the lowest work class, no partner and the
     * default deadline.
     */
    private Call background(
            RequestId id, ServiceSpec spec, Operation op, Request request, byte[] body) {
        Duration allowed = Duration.ofMillis(mNode.settings().defaultDeadlineMillis());
        Instant deadline = mNode.time().now().plus(allowed);
        return new Call(
                id,
                "",
                WorkClass.BROWSING,
                deadline,
                mNode.time().nanos() + allowed.toNanos(),
                spec.name(),
                op,
                request.getMethod(),
                request.getHttpURI().getPathQuery(),
                Headers.endToEnd(request.getHeaders(), true),
                body,
                Optional.empty(),
                1,
                1,
                false,
                false);
    }
}
