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
    private final Delay mDelay;

    Forwarder(NodeContext node, HttpClient client, Delay delay) {
        mNode = node;
        mClient = client;
        mDelay = delay;
    }

    /**
     * Sends a call and retries it within its allowance.
     *
     * @param onLevels hears the admitted fractions that answers carry
     * @param sink hears one answer
     */
    void forward(
            Call call,
            Allowance allowance,
            Cancellation cancellation,
            Consumer<List<ServiceLevel>> onLevels,
            AnswerSink sink) {
        new ForwardedCall(mNode, mClient, mDelay, call, allowance, cancellation, onLevels, sink)
                .start();
    }
}
