package io.azurestage.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.azurestage.config.Azurestage;
import io.azurestage.node.HostPort;
import io.azurestage.node.NodeSettings;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Identity and addresses of a node that runs in a separate process. */
record NodeEndpoints(
        String nodeId, HostPort ingress, HostPort egress, HostPort control, URI admin) {
    /** Operator token that the nodes of experiments accept. */
    static final String OPERATOR_TOKEN = "operator-of-experiments";

    private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);
    private static final String START_LINE_PREFIX = "azurestage-node ";

    /** Parses the line that a node prints once its ports are open. Returns null for other lines. */
    static NodeEndpoints parse(String line) {
        if (!line.startsWith(START_LINE_PREFIX)) {
            return null;
        }
        String[] parts = line.strip().split(" ");
        Map<String, HostPort> addresses = new HashMap<>();
        for (int i = 2; i < parts.length; i++) {
            int equals = parts[i].indexOf('=');
            addresses.put(
                    parts[i].substring(0, equals), HostPort.parse(parts[i].substring(equals + 1)));
        }
        return new NodeEndpoints(
                parts[1],
                addresses.get("ingress"),
                addresses.get("egress"),
                addresses.get("control"),
                URI.create("http://" + addresses.get("admin")));
    }

    /** Reads the start line from the output of a node. Returns null if it is not complete yet. */
    static NodeEndpoints read(Path output) throws IOException {
        if (!Files.exists(output)) {
            return null;
        }
        String text = Files.readString(output);
        int end = text.indexOf('\n');
        return end < 0 ? null : parse(text.substring(0, end));
    }

    /** Location of a node, the service of its backend server and the URI of that server. */
    record Place(
            String nodeId,
            String dataCentre,
            String region,
            Topology.Service service,
            URI backend) {}

    /** Writes node settings with ephemeral ports, no warm-up and {@link #OPERATOR_TOKEN}. */
    static void writeSettings(Path file, Place place, URI store, List<HostPort> seeds)
            throws IOException {
        NodeSettings settings =
                new NodeSettings(
                        place.nodeId(),
                        place.service().name(),
                        place.dataCentre(),
                        place.region(),
                        place.service().slots(),
                        place.service().connections(),
                        new HostPort(place.backend().getHost(), place.backend().getPort()),
                        ANY_PORT,
                        ANY_PORT,
                        ANY_PORT,
                        ANY_PORT,
                        AzurestagePolicy.MESH_KEY,
                        tokenSha256(),
                        List.of(HostPort.parse(store.getAuthority())),
                        seeds,
                        0L,
                        null,
                        null,
                        null,
                        null,
                        null,
                        null,
                        null,
                        null,
                        null);
        new ObjectMapper().writeValue(file.toFile(), settings);
    }

    private static String tokenSha256() {
        return Azurestage.config()
                .partner("operator", p -> p.credential(OPERATOR_TOKEN))
                .build()
                .partner("operator")
                .orElseThrow()
                .credentialSha256();
    }
}
