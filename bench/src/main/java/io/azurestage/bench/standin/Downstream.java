package io.azurestage.bench.standin;

import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Calls the next service of a chain for a stand-in backend. The returned future always completes
 * normally; a failed call is a {@link Reply} with status 0.
 */
@FunctionalInterface
public interface Downstream {
    /** Timeout of a call through a node; fails calls that the node never answers. */
    Duration EGRESS_TIMEOUT = Duration.ofSeconds(30);

    /**
     * Sends one downstream call.
     *
     * @param call target service and request to send
     * @return completes normally with the reply
     */
    CompletableFuture<Reply> call(DownstreamCall call);

    /**
     * Creates a client that sends calls through the egress port of the local node.
     *
     * @param egress egress address of the node beside the backend server
     * @param runtime shared HTTP client
     * @return a client for all services that the node routes to
     */
    static Downstream egress(URI egress, StandInRuntime runtime) {
        return call -> {
            Map<String, String> headers = new HashMap<>(call.headers());
            headers.put("Azurestage-Service", call.service());
            return runtime.send(
                    egress, call.method(), call.path(), headers, call.body(), EGRESS_TIMEOUT);
        };
    }
}
