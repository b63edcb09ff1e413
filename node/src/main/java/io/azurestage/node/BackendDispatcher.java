package io.azurestage.node;

import io.azurestage.config.MeshConfig;
import io.azurestage.core.admission.ServiceLevel;
import io.azurestage.core.context.RequestContext;
import io.azurestage.core.event.EventType;
import io.azurestage.core.once.Claim;
import io.azurestage.core.once.Fingerprint;
import io.azurestage.core.once.StoredAnswer;
import io.azurestage.core.once.Ticket;
import io.azurestage.core.once.TicketRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;

/** Applies ticket and admission rules to calls for the local backend server, then runs them. */
final class BackendDispatcher {
    private final NodeContext mNode;
    private final AdmissionLoop mAdmission;
    private final TicketRegistry mTicketRegistry;
    private final HttpClient mClient;
    private final LocalLevels mLocalLevels;

    BackendDispatcher(
            NodeContext node,
            AdmissionLoop admission,
            TicketRegistry ticketRegistry,
            HttpClient client) {
        mNode = node;
        mAdmission = admission;
        mTicketRegistry = ticketRegistry;
        mClient = client;
        mLocalLevels =
                new LocalLevels(node.settings().service(), admission::fractions, node.time());
    }

    void configure(MeshConfig config) {
        mAdmission.configure(config);
    }

    /** Handles an attempt sent by another node. The sink receives exactly one answer. */
    void handle(Call call, RequestContext ctx, ActiveRequest active, AnswerSink sink) {
        if (call.ticket().isPresent()) {
            claim(call, ctx, active, call.ticket().get(), sink);
        } else if (!call.operation().idempotent()) {
            sink.refuse(
                    Refusal.notRun(RefusalKind.TICKET_REQUIRED, "the operation is not idempotent"));
        } else {
            admit(call, active, sink, false);
        }
    }

    private void claim(
            Call call, RequestContext ctx, ActiveRequest active, Ticket ticket, AnswerSink sink) {
        long fingerprint = Fingerprint.of(call.method(), call.target(), call.body());
        Claim claim =
                mTicketRegistry.claim(
                        ticket,
                        fingerprint,
                        answer -> ended(call, ticket, fingerprint, answer, sink));
        String outcome = claim.getClass().getSimpleName();
        mNode.metrics().ticketClaims().labelValues(outcome).inc();
        if (claim instanceof Claim.First) {
            admitTicketed(call, active, new TicketOutcomeSink(sink, mTicketRegistry, ticket));
        } else if (claim instanceof Claim.Done done) {
            replay(call, Optional.of(done.answer()), sink);
        } else if (claim instanceof Claim.Sealed) {
            refuseSealed(sink);
        } else if (claim instanceof Claim.Mismatch) {
            sink.refuse(
                    Refusal.notRun(
                            RefusalKind.TICKET_MISMATCH,
                            "the ticket was used for another request"));
        } else if (claim instanceof Claim.Full) {
            mNode.event(EventType.TICKETS_FULL, call.id(), call.partner(), Map.of());
            sink.refuse(
                    Refusal.notRun(
                            RefusalKind.OVERLOADED,
                            Duration.ofSeconds(1),
                            "the ticket registry is full"));
        } else if (claim instanceof Claim.Unknown unknown) {
            refuseUnknown(call, unknown.reason(), sink);
        }
    }

    private void refuseUnknown(Call call, String reason, AnswerSink sink) {
        mNode.event(EventType.TICKET_UNKNOWN, call.id(), call.partner(), Map.of("reason", reason));
        sink.refuse(Refusal.unknown(RefusalKind.TICKET_UNKNOWN, reason));
    }

    /**
     * Answers a repeat that waited for the first attempt to end. If no answer was stored, a second
     * claim shows whether the ticket was sealed.
     */
    private void ended(
            Call call,
            Ticket ticket,
            long fingerprint,
            Optional<StoredAnswer> answer,
            AnswerSink sink) {
        boolean sealed =
                answer.isEmpty()
                        && mTicketRegistry.claim(ticket, fingerprint, a -> {})
                                instanceof Claim.Sealed;
        if (sealed) {
            refuseSealed(sink);
        } else {
            replay(call, answer, sink);
        }
    }

    private static void refuseSealed(AnswerSink sink) {
        sink.refuse(
                Refusal.notRun(
                        RefusalKind.TICKET_MISMATCH,
                        "the ticket was refused as not run before and is void"));
    }

    private void replay(Call call, Optional<StoredAnswer> answer, AnswerSink sink) {
        if (answer.isEmpty()) {
            refuseUnknown(call, "the request ran and its answer was not kept", sink);
            return;
        }
        mNode.event(EventType.TICKET_REPLAYED, call.id(), call.partner(), Map.of());
        HttpFields.Mutable headers = HttpFields.build();
        answer.get().headers().forEach((name, values) -> values.forEach(v -> headers.add(name, v)));
        sink.respond(answer.get().status(), headers.asImmutable(), answer.get().body());
    }

    /**
     * Applies the admitted fractions of the call chain to a ticketed call. The entry node cannot do
     * so, since it cannot tell whether an earlier attempt ran; only this node can.
     */
    private void admitTicketed(Call call, ActiveRequest active, AnswerSink sink) {
        OptionalDouble fraction = mNode.levels().admit(call.chainKey(), call.id().rank());
        if (fraction.isEmpty()) {
            sink.refuse(
                    Refusal.notRun(
                            RefusalKind.OVERLOADED,
                            EntryHandler.retryAfter(call.id()),
                            "a service of the chain is overloaded"));
            return;
        }
        double least = Math.min(fraction.getAsDouble(), call.entryFraction());
        active.entryFraction(least);
        admit(call.withEntryFraction(least), active, sink, true);
    }

    private void admit(Call call, ActiveRequest active, AnswerSink sink, boolean ticketed) {
        if (isLeaving(sink)) {
            return;
        }
        new BackendCall(mNode, mAdmission, mClient, call, active, sink, ticketed).start();
    }

    private boolean isLeaving(AnswerSink sink) {
        if (mNode.lifecycle() != Lifecycle.DRAINING) {
            return false;
        }
        sink.refuse(Refusal.notRun(RefusalKind.DRAINING, "the backend server is leaving"));
        return true;
    }

    /** Returns the admitted fractions to report: this server's own and those of its callees. */
    List<ServiceLevel> levels(Call call, ActiveRequest active) {
        active.recordLevels(mLocalLevels.report(call.partner()));
        List<ServiceLevel> all = active.levels();
        mNode.levels().learn(call.chainKey(), all);
        return all;
    }

    double load() {
        return mAdmission.load();
    }
}
