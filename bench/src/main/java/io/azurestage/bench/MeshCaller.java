package io.azurestage.bench;

import io.azurestage.bench.standin.Echo;
import io.azurestage.bench.standin.RequestKey;
import io.azurestage.client.AzurestageClient;
import io.azurestage.client.Call;
import io.azurestage.client.CallResult;
import io.azurestage.client.Ran;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Calls a mesh through the client library and verifies every response. */
final class MeshCaller implements Caller, AutoCloseable {
    private static final int CONNECTIONS_PER_ENTRY = 1000;

    private final List<String> mChain;
    private final boolean mTickets;
    private final Map<String, AzurestageClient> mClients = new HashMap<>();

    MeshCaller(Mesh mesh, List<String> chain, List<String> partners, long seed) {
        this(mesh.entries(), mesh.tickets(), mesh.tickets() ? 2 : 1, chain, partners, seed);
    }

    /**
     * Creates a caller.
     *
     * @param attempts maximum number of attempts that the client library makes for a call
     * @param chain names of the services of the chain, in order
     */
    MeshCaller(
            List<URI> entries,
            boolean tickets,
            int attempts,
            List<String> chain,
            List<String> partners,
            long seed) {
        mChain = List.copyOf(chain);
        mTickets = tickets;
        for (String partner : partners) {
            mClients.put(partner, client(entries, partner, attempts, seed));
        }
    }

    private static AzurestageClient client(
            List<URI> entries, String partner, int attempts, long seed) {
        return AzurestageClient.builder()
                .entries(entries)
                .partner(partner, credential(partner))
                .maxAttempts(attempts)
                .connectionsPerEntry(CONNECTIONS_PER_ENTRY)
                .seed(seed)
                .build();
    }

    /** Returns the credential of a partner, which the configuration of the mesh must contain. */
    static String credential(String partner) {
        return "credential-of-" + partner;
    }

    /** Replaces the entries that the callers use. */
    void entries(List<URI> entries) {
        mClients.values().forEach(client -> client.entries(entries));
    }

    @Override
    public CompletableFuture<AttemptResult> call(Flow flow, RequestKey key, Duration deadline) {
        byte[] payload = payload(flow, key);
        Call call =
                mClients.get(flow.partner())
                        .call(mChain.get(0))
                        .request(flow.method(), flow.path())
                        .body(payload)
                        .deadline(deadline)
                        .header(RequestKey.KEY_HEADER, key.text())
                        .header(RequestKey.PARTNER_HEADER, flow.partner())
                        .header(RequestKey.CLASS_HEADER, flow.workClass().name());
        if (!mTickets) {
            call.idempotent(true);
        }
        return call.send().thenApply(result -> check(result, key, payload));
    }

    private static byte[] payload(Flow flow, RequestKey key) {
        return flow.method().equals("GET")
                ? new byte[0]
                : ("payload of " + key.text()).getBytes(StandardCharsets.UTF_8);
    }

    private AttemptResult check(CallResult result, RequestKey key, byte[] payload) {
        if (result instanceof CallResult.Refused refused) {
            boolean notRun = refused.ran() == Ran.NOT_RUN;
            return new AttemptResult(notRun ? Verdict.REFUSED : Verdict.UNKNOWN, refused.kind());
        }
        if (result instanceof CallResult.Failed failed) {
            return new AttemptResult(Verdict.UNKNOWN, failed.reason());
        }
        CallResult.Whole whole = (CallResult.Whole) result;
        if (whole.status() != 200) {
            return new AttemptResult(Verdict.ERROR, "status " + whole.status());
        }
        return switch (Echo.check(whole.body(), mChain, key, payload)) {
            case WHOLE -> new AttemptResult(Verdict.WHOLE, "");
            case PARTIAL -> new AttemptResult(Verdict.PARTIAL, "");
            case MISDELIVERED -> new AttemptResult(Verdict.MISDELIVERED, "");
        };
    }

    @Override
    public void close() {
        mClients.values().forEach(AzurestageClient::close);
    }
}
