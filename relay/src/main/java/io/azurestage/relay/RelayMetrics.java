package io.azurestage.relay;

import io.azurestage.config.WorkClass;
import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.datapoints.DistributionDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/** Metrics of one node, in a separate registry. They are listed in docs/metrics.md. */
public final class RelayMetrics {
    /**
     * Upper bucket bounds in seconds. They cover the latency targets (0.1 to 1.5 s) and timeouts
     * (0.4 to 6 s) of users' routes.
     */
    private static final double[] BUCKET_BOUNDS_SECONDS = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.8, 1, 1.2, 1.5, 2.5, 5
    };

    private static final WorkClass[] CLASSES = WorkClass.values();
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final int MIN_CLIENT_ERROR_STATUS = 400;

    private enum Outcome {
        SUCCESS,
        CLIENT_ERROR,
        SERVER_ERROR;

        static Outcome of(int status) {
            if (status >= MIN_SERVER_ERROR_STATUS) {
                return SERVER_ERROR;
            }
            return status >= MIN_CLIENT_ERROR_STATUS ? CLIENT_ERROR : SUCCESS;
        }
    }

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Counter mRequests =
            counter("azurestage_requests_total", "answers to callers", "work_class", "outcome");
    private final Counter mRefusals =
            counter("azurestage_refusals_total", "requests and calls not run", "reason");
    private final Counter mRetries =
            counter("azurestage_retries_total", "attempts sent again", "work_class");
    private final Counter mEvents = counter("azurestage_events_total", "events logged", "event");
    private final Histogram mRequestSeconds =
            histogram("azurestage_request_seconds", "time until a request was answered");
    private final Histogram mQueueSeconds =
            histogram("azurestage_queue_seconds", "wait for a slot of the backend server");

    /** Data points, looked up once because every request needs them. Indexed by class, outcome. */
    private final CounterDataPoint[][] mRequestsByClass = new CounterDataPoint[CLASSES.length][];

    private final DistributionDataPoint[] mRequestSecondsByClass =
            new DistributionDataPoint[CLASSES.length];
    private final DistributionDataPoint[] mQueueSecondsByClass =
            new DistributionDataPoint[CLASSES.length];

    /** Creates metrics with all counts at zero. */
    public RelayMetrics() {
        for (WorkClass c : CLASSES) {
            CounterDataPoint[] byOutcome = new CounterDataPoint[Outcome.values().length];
            for (Outcome o : Outcome.values()) {
                byOutcome[o.ordinal()] = mRequests.labelValues(name(c), name(o));
            }
            mRequestsByClass[c.ordinal()] = byOutcome;
            mRequestSecondsByClass[c.ordinal()] = mRequestSeconds.labelValues(name(c));
            mQueueSecondsByClass[c.ordinal()] = mQueueSeconds.labelValues(name(c));
        }
    }

    /**
     * Counts an answer to a caller.
     *
     * @param workClass class of the request
     * @param status HTTP status of the answer
     * @param took time from the arrival of the request to the answer
     */
    public void answered(WorkClass workClass, int status, Duration took) {
        mRequestsByClass[workClass.ordinal()][Outcome.of(status).ordinal()].inc();
        mRequestSecondsByClass[workClass.ordinal()].observe(seconds(took));
    }

    /**
     * Counts a request or call that was refused.
     *
     * @param reason reason of the refusal, from a fixed set
     */
    public void refused(String reason) {
        mRefusals.labelValues(reason).inc();
    }

    /**
     * Counts a retry.
     *
     * @param workClass class of the request
     */
    public void retried(WorkClass workClass) {
        mRetries.labelValues(name(workClass)).inc();
    }

    /**
     * Records how long a request waited for a slot of the backend server.
     *
     * @param workClass class of the request
     * @param waited time in the queue
     */
    public void waited(WorkClass workClass, Duration waited) {
        mQueueSecondsByClass[workClass.ordinal()].observe(seconds(waited));
    }

    /**
     * Counts an event, whether or not it was written to the log.
     *
     * @param event name of the event
     */
    public void event(String event) {
        mEvents.labelValues(event).inc();
    }

    /**
     * Registers a gauge whose value is read at each scrape.
     *
     * @param name name of the metric
     * @param help description of the metric
     * @param value supplies the current value
     */
    public void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(c -> c.call(value.getAsDouble()))
                .register(mRegistry);
    }

    /**
     * Returns the registry, for export.
     *
     * @return the registry
     */
    public PrometheusRegistry registry() {
        return mRegistry;
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(mRegistry);
    }

    private Histogram histogram(String name, String help) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .labelNames("work_class")
                .classicOnly()
                .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
                .register(mRegistry);
    }

    private static String name(Enum<?> c) {
        return c.name().toLowerCase(Locale.ROOT);
    }

    private static double seconds(Duration d) {
        return d.toNanos() / (double) TimeUnit.SECONDS.toNanos(1);
    }
}
