package io.azurestage.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * HTTP client for the admin endpoints of nodes. Results omit nodes that do not answer within 2 s.
 */
final class AdminClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final String AUTHORIZATION = "Authorization";

    private final HttpClient mHttp =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(TIMEOUT)
                    .build();
    private final ObjectMapper mJson = new ObjectMapper();

    /** Returns the status of each node that answered, without the member list. */
    Map<NodeEndpoints, JsonNode> statuses(Collection<NodeEndpoints> nodes) {
        Map<NodeEndpoints, JsonNode> statuses = new LinkedHashMap<>();
        fetchAll(nodes, "/azurestage/v1/status?members=false")
                .forEach((node, text) -> statuses.put(node, parse(text)));
        return statuses;
    }

    /** Returns the unlabelled metrics, by metric name, of each node that answered. */
    Map<NodeEndpoints, Map<String, Double>> metrics(Collection<NodeEndpoints> nodes) {
        Map<NodeEndpoints, Map<String, Double>> metrics = new LinkedHashMap<>();
        fetchAll(nodes, "/metrics").forEach((node, text) -> metrics.put(node, parseMetrics(text)));
        return metrics;
    }

    static Map<String, Double> parseMetrics(String text) {
        Map<String, Double> values = new HashMap<>();
        text.lines()
                .filter(line -> !line.startsWith("#") && line.indexOf('{') < 0)
                .map(line -> line.split(" "))
                .filter(parts -> parts.length >= 2)
                .forEach(parts -> values.put(parts[0], Double.parseDouble(parts[1])));
        return values;
    }

    /**
     * Posts an accepted configuration record to a node, as the command-line tool does.
     *
     * @return HTTP status code, or 0 if the node did not answer
     */
    CompletableFuture<Integer> sendRecord(NodeEndpoints node, String record) {
        return mHttp.sendAsync(
                        HttpRequest.newBuilder(node.admin().resolve("/azurestage/v1/config"))
                                .timeout(TIMEOUT)
                                .header(AUTHORIZATION, "Bearer " + NodeEndpoints.OPERATOR_TOKEN)
                                .header("Content-Type", "application/json")
                                .POST(HttpRequest.BodyPublishers.ofString(record))
                                .build(),
                        HttpResponse.BodyHandlers.discarding())
                .handle((answer, failure) -> failure == null ? answer.statusCode() : 0);
    }

    private Map<NodeEndpoints, String> fetchAll(Collection<NodeEndpoints> nodes, String path) {
        Map<NodeEndpoints, CompletableFuture<String>> calls = new LinkedHashMap<>();
        nodes.forEach(node -> calls.put(node, fetch(node, path)));
        Map<NodeEndpoints, String> texts = new LinkedHashMap<>();
        calls.forEach(
                (node, call) -> {
                    String text = call.join();
                    if (!text.isEmpty()) {
                        texts.put(node, text);
                    }
                });
        return texts;
    }

    private CompletableFuture<String> fetch(NodeEndpoints node, String path) {
        return mHttp.sendAsync(
                        HttpRequest.newBuilder(node.admin().resolve(path)).timeout(TIMEOUT).build(),
                        HttpResponse.BodyHandlers.ofString())
                .handle(
                        (answer, failure) ->
                                failure == null && answer.statusCode() == 200 ? answer.body() : "");
    }

    private JsonNode parse(String text) {
        try {
            return mJson.readTree(text);
        } catch (IOException e) {
            throw new IllegalStateException("the status response of a node is not valid JSON", e);
        }
    }
}
