package io.azurestage.node;

import io.azurestage.config.MeshConfig;
import io.azurestage.config.Operation;
import io.azurestage.config.ServiceSpec;
import io.azurestage.config.WorkClass;
import io.azurestage.core.admission.ChainKey;
import io.azurestage.core.context.RequestId;
import io.azurestage.core.event.EventType;
import io.azurestage.core.once.Ticket;
import io.azurestage.core.retry.Allowance;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Validates and admits calls from callers outside the mesh. */
final class EntryHandler {
    private static final Duration SHED_RETRY_AFTER = Duration.ofMillis(1_000);

    private final NodeContext mNode;
    private final Forwarder mForwarder;
    private final InFlightCalls mInFlight;

    EntryHandler(NodeContext node, Forwarder forwarder, InFlightCalls inFlight) {
        mNode = node;
        mForwarder = forwarder;
        mInFlight = inFlight;
    }

    void handle(RequestId id, Request request, Response response, Callback callback) {
        Optional<Refusal> refusal = leaving().or(() -> check(request));
        int limit = mNode.settings().maxBodyBytes();
        if (refusal.isEmpty() && RequestBody.isTooLong(request, limit)) {
            refusal =
                    Optional.of(
                            Refusal.notRun(
                                    RefusalKind.BODY_TOO_LARGE,
                                    "the body is longer than " + limit + " bytes"));
        }
        if (refusal.isPresent()) {
            refuse(id, request, response, callback, refusal.get());
            return;
        }
        RequestBody.read(request, limit, mNode.bounds())
                .whenComplete(
                        (body, failure) -> {
                            // The drain may have begun while the body was received.
                            Optional<Refusal> late =
                                    failure == null
                                            ? leaving()
                                            : Optional.of(Replies.unreadableBody(failure, limit));
                            late.ifPresentOrElse(
                                    r -> refuse(id, request, response, callback, r),
                                    () -> admit(id, request, body, response, callback));
                        });
    }

    private void refuse(
            RequestId id, Request request, Response response, Callback callback, Refusal refusal) {
        Replies.refuse(mNode, id, response, callback, withRepeatUncertainty(request, refusal));
    }

    /**
     * Adapts a refusal to a request that may be a repeat: if the request has a ticket, an earlier
     * attempt may have run, so the refusal reports the execution state as unknown.
     */
    static Refusal withRepeatUncertainty(Request request, Refusal r) {
        return request.getHeaders().contains(Headers.IDEMPOTENCY_KEY)
                ? r.withUnknownExecution()
                : r;
    }

    private Optional<Refusal> leaving() {
        return mNode.lifecycle() == Lifecycle.DRAINING
                ? Optional.of(Refusal.notRun(RefusalKind.DRAINING, "this node is leaving"))
                : Optional.empty();
    }

    private Optional<Refusal> check(Request request) {
        MeshConfig config = mNode.config();
        HttpFields h = request.getHeaders();
        Optional<Refusal> identity = Authenticator.refusal(config, h);
        if (identity.isPresent()) {
            return identity;
        }
        String service = h.get(Headers.SERVICE);
        if (service == null) {
            return Optional.of(
                    Refusal.notRun(RefusalKind.BAD_REQUEST, "Azurestage-Service is missing"));
        }
        if (config.service(service).isEmpty()) {
            return Optional.of(
                    Refusal.notRun(
                            RefusalKind.UNKNOWN_SERVICE, "the configuration has no such service"));
        }
        return checkFields(h);
    }

    private Optional<Refusal> checkFields(HttpFields h) {
        String deadline = h.get(Headers.DEADLINE_MS);
        if (deadline != null && !deadline.matches("[1-9][0-9]{0,8}")) {
            return Optional.of(
                    Refusal.notRun(
                            RefusalKind.BAD_REQUEST,
                            "Azurestage-Deadline-Ms is not a positive number of milliseconds"));
        }
        String workClass = h.get(Headers.CLASS);
        if (workClass != null && parseClass(workClass).isEmpty()) {
            return Optional.of(
                    Refusal.notRun(
                            RefusalKind.BAD_REQUEST,
                            "Azurestage-Class is none of critical, normal, browsing"));
        }
        return Optional.empty();
    }

    private static Optional<WorkClass> parseClass(String text) {
        for (WorkClass c : WorkClass.values()) {
            if (c.name().equals(text.toUpperCase(Locale.ROOT))) {
                return Optional.of(c);
            }
        }
        return Optional.empty();
    }

    private void admit(
            RequestId id, Request request, byte[] body, Response response, Callback callback) {
        Optional<Ticket> ticket = Optional.empty();
        String key = request.getHeaders().get(Headers.IDEMPOTENCY_KEY);
        if (key != null) {
            ticket = Ticket.decode(key, mNode.signer());
            Optional<Refusal> bad = checkTicket(ticket, request.getHeaders());
            if (bad.isPresent()) {
                Replies.refuse(mNode, id, response, callback, bad.get().withUnknownExecution());
                return;
            }
        }
        Call call = call(id, request, body, ticket);
        AnswerSink sink =
                mInFlight.track(
                        call,
                        new ResponseSink(
                                response,
                                callback,
                                id.toString(),
                                o -> HttpFields.build().put(Headers.REQUEST_ID, id.toString())));
        if (!call.operation().idempotent() && ticket.isEmpty()) {
            sink.refuse(
                    Refusal.notRun(RefusalKind.TICKET_REQUIRED, "the operation is not idempotent"));
            return;
        }
        // For a ticketed call the node named by the ticket applies the admitted fractions: only
        // that node knows whether an earlier attempt ran.
        if (ticket.isEmpty() && id.rank() >= call.entryFraction()) {
            shed(call, sink, call.entryFraction());
            return;
        }
        Cancellation cancellation = new Cancellation();
        request.addFailureListener(t -> cancellation.cancel());
        DisconnectAwareConnector.onDisconnect(request, cancellation::cancel);
        mForwarder.forward(
                call,
                new Allowance(mNode.config().retryAllowance()),
                cancellation,
                levels -> {},
                sink);
    }

    private void shed(Call call, AnswerSink sink, double fraction) {
        mNode.event(
                EventType.REQUEST_REFUSED,
                call.id(),
                call.partner(),
                Map.of("at", "entry", "fraction", String.format(Locale.ROOT, "%.3f", fraction)));
        sink.refuse(
                Refusal.notRun(
                        RefusalKind.OVERLOADED,
                        retryAfter(call.id()),
                        "a service of the chain is overloaded"));
    }

    /**
     * Returns the delay after which a caller whose call was shed should retry: 1 to 2 s, depending
     * on the rank of the request, so that callers refused at the same moment do not retry together.
     */
    static Duration retryAfter(RequestId id) {
        return SHED_RETRY_AFTER.plusMillis((long) (id.rank() * SHED_RETRY_AFTER.toMillis()));
    }

    private Optional<Refusal> checkTicket(Optional<Ticket> ticket, HttpFields h) {
        if (ticket.isEmpty()) {
            return Optional.of(
                    Refusal.notRun(
                            RefusalKind.BAD_REQUEST,
                            "Idempotency-Key is not a ticket of this mesh"));
        }
        Ticket t = ticket.get();
        boolean fits =
                t.partner().equals(h.get(Headers.PARTNER))
                        && t.service().equals(h.get(Headers.SERVICE));
        return fits
                ? Optional.empty()
                : Optional.of(
                        Refusal.notRun(
                                RefusalKind.TICKET_MISMATCH,
                                "the ticket is for another partner or service"));
    }

    private double admittedFraction(ChainKey key, RequestId id) {
        return mNode.levels().admit(key, id.rank()).orElseGet(() -> mNode.levels().fraction(key));
    }

    private Call call(RequestId id, Request request, byte[] body, Optional<Ticket> ticket) {
        HttpFields h = request.getHeaders();
        ServiceSpec spec = mNode.config().service(h.get(Headers.SERVICE)).orElseThrow();
        Operation op = spec.operation(request.getMethod(), request.getHttpURI().getPath());
        WorkClass workClass = op.workClass();
        if (h.contains(Headers.CLASS)) {
            workClass = workClass.lower(parseClass(h.get(Headers.CLASS)).orElse(workClass));
        }
        long wanted =
                h.contains(Headers.DEADLINE_MS)
                        ? h.getLongField(Headers.DEADLINE_MS)
                        : mNode.settings().defaultDeadlineMillis();
        Duration allowed =
                Duration.ofMillis(Math.min(wanted, mNode.settings().maxDeadlineMillis()));
        Instant deadline = mNode.time().now().plus(allowed);
        String partner = h.get(Headers.PARTNER);
        ChainKey key =
                new ChainKey(
                        spec.name(),
                        request.getMethod() + " " + op.pathPrefix(),
                        partner,
                        workClass);
        return new Call(
                id,
                partner,
                workClass,
                deadline,
                mNode.time().nanos() + allowed.toNanos(),
                spec.name(),
                op,
                request.getMethod(),
                request.getHttpURI().getPathQuery(),
                Headers.endToEnd(h, false),
                body,
                ticket,
                0,
                ticket.isPresent() ? 1 : admittedFraction(key, id),
                op.idempotent(),
                false);
    }
}
