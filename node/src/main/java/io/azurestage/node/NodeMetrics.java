package io.azurestage.node;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;

/** Metrics of one node, in a registry that other nodes of the process do not share. */
final class NodeMetrics {
    private final PrometheusRegistry mRegistry = new PrometheusRegistry();

    private final Counter mRefusals =
            counter("azurestage_refusals_total", "refused calls", "kind", "partner", "work_class");
    private final Counter mCompleted =
            counter("azurestage_completed_total", "calls answered whole", "partner", "work_class");
    private final Counter mAttempts =
            counter("azurestage_attempts_total", "attempts sent", "service");
    private final Counter mRetries =
            counter("azurestage_retries_total", "retries sent", "service", "partner");
    private final Counter mDroppedAnswers =
            counter("azurestage_answers_dropped_total", "foreign or broken answers", "reason");
    private final Counter mRefusedContexts =
            counter("azurestage_contexts_refused_total", "contexts not accepted", "reason");
    private final Counter mTicketClaims =
            counter("azurestage_ticket_claims_total", "outcomes of ticket claims", "outcome");
    private final Gauge mLentSlots =
            Gauge.builder()
                    .name("azurestage_lent_slots")
                    .help("slots lent from one partner's share to another partner")
                    .labelNames("lender", "borrower", "work_class")
                    .register(mRegistry);

    Counter refusals() {
        return mRefusals;
    }

    Counter completed() {
        return mCompleted;
    }

    Counter attempts() {
        return mAttempts;
    }

    Counter retries() {
        return mRetries;
    }

    Counter dropped() {
        return mDroppedAnswers;
    }

    Counter contextRefused() {
        return mRefusedContexts;
    }

    Counter ticketClaims() {
        return mTicketClaims;
    }

    Gauge lent() {
        return mLentSlots;
    }

    PrometheusRegistry registry() {
        return mRegistry;
    }

    void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(c -> c.call(value.getAsDouble()))
                .register(mRegistry);
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(mRegistry);
    }
}
