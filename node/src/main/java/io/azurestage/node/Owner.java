package io.azurestage.node;

import io.azurestage.config.MeshConfig;
import io.azurestage.core.admission.ServiceLevel;
import io.azurestage.core.context.RequestContext;
import io.azurestage.core.event.EventType;
import io.azurestage.core.once.Claim;
import io.azurestage.core.once.Fingerprint;
import io.azurestage.core.once.OnceRegistry;
import io.azurestage.core.once.StoredAnswer;
import io.azurestage.core.once.Ticket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;

/** Runs calls on the backend server beside this node. */
final class Owner {
    private final Shared mShared;
    private final AdmissionLoop mAdmission;
    private final OnceRegistry mOnce;
    private final HttpClient mClient;
    private final OwnLevels mOwnLevels;

    Owner(Shared shared, AdmissionLoop admission, OnceRegistry once, HttpClient client) {
        mShared = shared;
        mAdmission = admission;
        mOnce = once;
        mClient = client;
        mOwnLevels =
                new OwnLevels(shared.settings().service(), admission::fractions, shared.time());
    }

    void configure(MeshConfig config) {
        mAdmission.configure(config);
    }

    /** Handles an attempt that another node sent. The sink hears one answer. */
    void handle(Call call, RequestContext ctx, Progress progress, AnswerSink sink) {
        if (call.ticket().isPresent()) {
            claim(call, ctx, progress, call.ticket().get(), sink);
        } else if (!call.operation().idempotent()) {
            sink.refuse(
                    Refusal.notRun(RefusalKind.TICKET_REQUIRED, "the operation is not idempotent"));
        } else {
            admit(call, progress, sink, false);
        }
    }

    private void claim(
            Call call, RequestContext ctx, Progress progress, Ticket ticket, AnswerSink sink) {
        long fingerprint = Fingerprint.of(call.method(), call.target(), call.body());
        Claim claim =
                mOnce.claim(
                        ticket,
                        fingerprint,
                        answer -> ended(call, ticket, fingerprint, answer, sink));
        String outcome = claim.getClass().getSimpleName();
        mShared.metrics().ticketClaims().labelValues(outcome).inc();
        if (claim instanceof Claim.First) {
            admitTicketed(call, progress, new OnceSink(sink, mOnce, ticket));
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
            mShared.event(EventType.TICKETS_FULL, call.id(), call.partner(), Map.of());
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
        mShared.event(
                EventType.TICKET_UNKNOWN, call.id(), call.partner(), Map.of("reason", reason));
        sink.refuse(Refusal.unknown(RefusalKind.TICKET_UNKNOWN, reason));
    }

    /** Answers a repeat that waited; without an answer, a second claim tells if it was sealed. */
    private void ended(
            Call call,
            Ticket ticket,
            long fingerprint,
            Optional<StoredAnswer> answer,
            AnswerSink sink) {
        boolean sealed =
                answer.isEmpty()
                        && mOnce.claim(ticket, fingerprint, a -> {}) instanceof Claim.Sealed;
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
        mShared.event(EventType.TICKET_REPLAYED, call.id(), call.partner(), Map.of());
        HttpFields.Mutable headers = HttpFields.build();
        answer.get().headers().forEach((name, values) -> values.forEach(v -> headers.add(name, v)));
        sink.whole(answer.get().status(), headers.asImmutable(), answer.get().body());
    }

    /**
     * The entry cannot refuse a ticketed call as not run, because an earlier attempt may have run.
     * Only this node knows, so the levels of the chain are applied here.
     */
    private void admitTicketed(Call call, Progress progress, AnswerSink sink) {
        OptionalDouble fraction = mShared.levels().admit(call.chainKey(), call.id().rank());
        if (fraction.isEmpty()) {
            sink.refuse(
                    Refusal.notRun(
                            RefusalKind.OVERLOADED,
                            Entry.retryAfter(call.id()),
                            "a service of the chain is overloaded"));
            return;
        }
        double least = Math.min(fraction.getAsDouble(), call.entryFraction());
        progress.entryFraction(least);
        admit(call.withEntryFraction(least), progress, sink, true);
    }

    private void admit(Call call, Progress progress, AnswerSink sink, boolean ticketed) {
        if (isLeaving(sink)) {
            return;
        }
        new OwnerRun(mShared, mAdmission, mClient, call, progress, sink, ticketed).start();
    }

    private boolean isLeaving(AnswerSink sink) {
        if (mShared.lifecycle() != Lifecycle.DRAINING) {
            return false;
        }
        sink.refuse(Refusal.notRun(RefusalKind.DRAINING, "the backend server is leaving"));
        return true;
    }

    /** Fractions to report upstream: this server's own and those of the services below. */
    List<ServiceLevel> levels(Call call, Progress progress) {
        progress.learn(mOwnLevels.report(call.partner()));
        List<ServiceLevel> all = progress.levels();
        mShared.levels().learn(call.chainKey(), all);
        return all;
    }

    double load() {
        return mAdmission.load();
    }
}
