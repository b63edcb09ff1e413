package io.azurestage.node;

import io.azurestage.core.retry.Allowance;
import org.eclipse.jetty.client.HttpClient;

/** Sends calls to the node beside a backend server of the called service. */
final class Forwarder {
    private final Shared mShared;
    private final HttpClient mClient;
    private final Delay mDelay;

    Forwarder(Shared shared, HttpClient client, Delay delay) {
        mShared = shared;
        mClient = client;
        mDelay = delay;
    }

    /** Sends a call and retries it within its allowance. The sink hears one answer. */
    void forward(Call call, Allowance allowance, Cancellation cancellation, AnswerSink sink) {
        new Forwarding(mShared, mClient, mDelay, call, allowance, cancellation, sink).start();
    }
}
