package io.azurestage.node;

import io.azurestage.core.admission.ServiceLevel;
import io.azurestage.core.retry.Allowance;
import java.util.List;
import java.util.function.Consumer;
import org.eclipse.jetty.client.HttpClient;

/** Sends calls to the node beside a backend server of the called service. */
final class Forwarder {
    private final NodeContext mNode;
    private final HttpClient mClient;
    private final DelayScheduler mDelay;
    private final ConnectionGenerations mGenerations = new ConnectionGenerations();

    Forwarder(NodeContext node, HttpClient client, DelayScheduler delay) {
        mNode = node;
        mClient = client;
        mDelay = delay;
    }

    /**
     * Sends a call and retries it within its allowance.
     *
     * @param call the call to send
     * @param allowance retries that remain for the whole request
     * @param cancellation aborts the attempt in progress when the caller disconnects
     * @param onLevels receives the admitted fractions reported in answers
     * @param sink receives exactly one answer or refusal
     */
    void forward(
            Call call,
            Allowance allowance,
            Cancellation cancellation,
            Consumer<List<ServiceLevel>> onLevels,
            AnswerSink sink) {
        new ForwardedCall(
                        mNode,
                        mClient,
                        mGenerations,
                        mDelay,
                        call,
                        allowance,
                        cancellation,
                        onLevels,
                        sink)
                .start();
    }
}
