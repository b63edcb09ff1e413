package io.azurestage.client;

import java.net.URI;
import java.util.List;

/**
 * Calls services through the nodes of a mesh. Thread-safe; close it to release its threads.
 *
 * <p>For a non-idempotent call the client first fetches a ticket. If the response is lost, it
 * retries the call with the same ticket through another entry node, so that the call still runs at
 * most once. Attempts are bounded in number and by the deadline.
 *
 * <p>Example:
 *
 * <pre>{@code
 * try (AzurestageClient client =
 *         AzurestageClient.builder()
 *                 .entries(List.of(URI.create("http://10.0.0.1:7000")))
 *                 .partner("hire-house", "secret")
 *                 .build()) {
 *     CallResult result =
 *             client.call("advance-desk")
 *                     .request("POST", "/advances")
 *                     .body(json)
 *                     .deadline(Duration.ofSeconds(2))
 *                     .send()
 *                     .join();
 *     if (result instanceof CallResult.Refused refused && refused.ran() == Ran.NOT_RUN) {
 *         System.out.println("retry in " + refused.retryAfter().toMillis() + " ms");
 *     }
 * }
 * }</pre>
 */
public final class AzurestageClient implements AutoCloseable {
    private final JettyTransport mTransport;
    private final CallRunner.Services mServices;

    AzurestageClient(JettyTransport transport, CallRunner.Services services) {
        mTransport = transport;
        mServices = services;
    }

    /**
     * Starts to configure a client.
     *
     * @return a builder
     */
    public static ClientBuilder builder() {
        return new ClientBuilder();
    }

    /**
     * Starts a call.
     *
     * @param service name of the service
     * @return the call, to be completed and sent
     */
    public Call call(String service) {
        return new Call(service, spec -> new CallRunner(spec, mServices).run());
    }

    /**
     * Replaces the entry nodes. Attempts in progress are not affected; later attempts, also those
     * of calls in progress, use the new nodes.
     *
     * @param entries ingress addresses, at least one
     */
    public void entries(List<URI> entries) {
        mServices.entries().replace(entries);
    }

    @Override
    public void close() {
        mTransport.close();
    }
}
