package io.azurestage.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.azurestage.config.AcceptedConfig;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** In-process HTTP server with the admin endpoints of a node; it does not gossip. */
final class FakeNode implements AutoCloseable {
    static final String TOKEN = "secret";

    private final HttpServer mServer;
    private final String mNodeId;
    private final String mDataCentre;
    private final ObjectNode mStatus = Json.object();
    private final Queue<String> mCalls = new ConcurrentLinkedQueue<>();
    private volatile String mEvents = "";
    private volatile boolean mAdoptsConfigs = true;

    FakeNode(String nodeId, String dataCentre, long configNumber) throws IOException {
        mNodeId = nodeId;
        mDataCentre = dataCentre;
        mStatus.put("nodeId", nodeId).put("dataCentre", dataCentre).put("service", "bookings");
        mStatus.put("state", "SERVING").put("configNumber", configNumber).putArray("members");
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        mServer.createContext("/azurestage/v1/", this::handle);
        mServer.start();
    }

    String admin() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    void addMembers(List<FakeNode> nodes) {
        for (FakeNode n : nodes) {
            mStatus.withArray("members")
                    .addObject()
                    .put("nodeId", n.mNodeId)
                    .put("dataCentre", n.mDataCentre)
                    .put("liveness", "ALIVE")
                    .put("admin", n.admin());
        }
    }

    void events(String events) {
        mEvents = events;
    }

    void ignoreConfigs() {
        mAdoptsConfigs = false;
    }

    List<String> calls(String prefix) {
        return mCalls.stream().filter(c -> c.startsWith(prefix)).toList();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String path = exchange.getRequestURI().toString();
        mCalls.add(exchange.getRequestMethod() + " " + path);
        String authorization = exchange.getRequestHeaders().getFirst("Authorization");
        if ("POST".equals(exchange.getRequestMethod())
                && !("Bearer " + TOKEN).equals(authorization)) {
            respond(exchange, 401, "{}");
        } else if (path.endsWith("/drain")) {
            respond(exchange, 202, "");
        } else if (path.endsWith("/config")) {
            adopt(AcceptedConfig.parse(body));
            respond(exchange, 200, status().toString());
        } else if (path.contains("/events")) {
            respond(exchange, 200, "{\"dropped\":0,\"events\":[" + mEvents + "]}");
        } else {
            respond(exchange, 200, status().toString());
        }
    }

    private synchronized JsonNode status() {
        return mStatus.deepCopy();
    }

    private synchronized void adopt(AcceptedConfig record) {
        if (mAdoptsConfigs) {
            mStatus.put("configNumber", record.number()).put("configChangeId", record.changeId());
        }
    }

    private static void respond(HttpExchange exchange, int status, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        mServer.stop(0);
    }
}
