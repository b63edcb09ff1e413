package io.azurestage.node;

import io.azurestage.core.admission.ServiceLevel;
import io.azurestage.core.retry.Allowance;
import java.util.List;
import java.util.function.Consumer;
import org.eclipse.jetty.client.HttpClient;

/** Sends calls to the node beside a backend server of the called service. */
final class Forwarder {
    private final Shared mShared;
    private final HttpClient mClient;
    private final DelayScheduler mDelay;

    Forwarder(Shared shared, HttpClient client, DelayScheduler delay) {
        mShared = shared;
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
        new Forwarding(mShared, mClient, mDelay, call, allowance, cancellation, onLevels, sink)
                .start();
    }
}
