package io.azurestage.bench.standin;

import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** How a stand-in backend calls the next service. The future always completes normally. */
@FunctionalInterface
public interface Downstream {
    /** Ends calls that a node has left without a response. */
    Duration EGRESS_TIMEOUT = Duration.ofSeconds(30);

    /**
     * Makes a call.
     *
     * @param call the call
     * @return completes with the reply
     */
    CompletableFuture<Reply> call(DownstreamCall call);

    /**
     * Calls through the egress port of the local node.
     *
     * @param egress egress address of the node beside the backend server
     * @param runtime shared HTTP client
     * @return the way to the next service
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
