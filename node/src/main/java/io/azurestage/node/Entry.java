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

/** The door: takes calls from outside callers into the mesh. */
final class Entry {
    private static final Duration SHED_RETRY_AFTER = Duration.ofMillis(1_000);

    private final Shared mShared;
    private final Forwarder mForwarder;
    private final Flights mFlights;

    Entry(Shared shared, Forwarder forwarder, Flights flights) {
        mShared = shared;
        mForwarder = forwarder;
        mFlights = flights;
    }

    void handle(RequestId id, Request request, Response response, Callback callback) {
        Optional<Refusal> refusal = check(request);
        int limit = mShared.settings().maxBodyBytes();
        if (refusal.isEmpty() && Body.isTooLong(request, limit)) {
            refusal =
                    Optional.of(
                            Refusal.notRun(
                                    RefusalKind.BODY_TOO_LARGE,
                                    "the body is longer than " + limit + " bytes"));
        }
        if (refusal.isPresent()) {
            Replies.refuse(mShared, id, response, callback, asRepeat(request, refusal.get()));
            return;
        }
        Body.read(request, limit)
                .whenComplete(
                        (body, failure) -> {
                            if (failure == null) {
                                admit(id, request, body, response, callback);
                            } else {
                                Replies.refuse(
                                        mShared,
                                        id,
                                        response,
                                        callback,
                                        asRepeat(request, Replies.unreadableBody(failure, limit)));
                            }
                        });
    }

    /** With a ticket this may be a repeat, and the first attempt may have run. */
    static Refusal asRepeat(Request request, Refusal r) {
        return request.getHeaders().contains(Headers.IDEMPOTENCY_KEY) ? r.maybeRan() : r;
    }

    private Optional<Refusal> check(Request request) {
        if (mShared.lifecycle() == Lifecycle.DRAINING) {
            return Optional.of(Refusal.notRun(RefusalKind.DRAINING, "this node is leaving"));
        }
        MeshConfig config = mShared.config();
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
            ticket = Ticket.decode(key, mShared.signer());
            Optional<Refusal> bad = checkTicket(ticket, request.getHeaders());
            if (bad.isPresent()) {
                Replies.refuse(mShared, id, response, callback, bad.get().maybeRan());
                return;
            }
        }
        Call call = call(id, request, body, ticket);
        AnswerSink sink =
                mFlights.track(
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
        // The owner of a ticketed call applies the levels: only it can say not-run of a repeat.
        if (ticket.isEmpty() && id.rank() >= call.entryFraction()) {
            shed(call, sink, call.entryFraction());
            return;
        }
        Cancellation cancellation = new Cancellation();
        request.addFailureListener(t -> cancellation.cancel());
        DisconnectAwareConnector.onDisconnect(request, cancellation::cancel);
        mForwarder.forward(
                call,
                new Allowance(mShared.config().retryAllowance()),
                cancellation,
                levels -> {},
                sink);
    }

    private void shed(Call call, AnswerSink sink, double fraction) {
        mShared.event(
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

    /** Callers refused at the same moment come back spread over a second. */
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
        return mShared.levels()
                .admit(key, id.rank())
                .orElseGet(() -> mShared.levels().fraction(key));
    }

    private Call call(RequestId id, Request request, byte[] body, Optional<Ticket> ticket) {
        HttpFields h = request.getHeaders();
        ServiceSpec spec = mShared.config().service(h.get(Headers.SERVICE)).orElseThrow();
        Operation op = spec.operation(request.getMethod(), request.getHttpURI().getPath());
        WorkClass workClass = op.workClass();
        if (h.contains(Headers.CLASS)) {
            workClass = workClass.lower(parseClass(h.get(Headers.CLASS)).orElse(workClass));
        }
        long wanted =
                h.contains(Headers.DEADLINE_MS)
                        ? h.getLongField(Headers.DEADLINE_MS)
                        : mShared.settings().defaultDeadlineMillis();
        Duration allowed =
                Duration.ofMillis(Math.min(wanted, mShared.settings().maxDeadlineMillis()));
        Instant deadline = mShared.time().now().plus(allowed);
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
                mShared.time().nanos() + allowed.toNanos(),
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
