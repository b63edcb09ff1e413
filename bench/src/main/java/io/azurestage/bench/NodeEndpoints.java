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

/** Addresses of a node that runs in a process of its own. */
record NodeEndpoints(
        String nodeId, HostPort ingress, HostPort egress, HostPort control, URI admin) {
    /** Token that operators of experiments send. */
    static final String OPERATOR_TOKEN = "operator-of-experiments";

    private static final HostPort ANY = new HostPort("127.0.0.1", 0);
    private static final String START = "azurestage-node ";

    /**
     * Reads the line that a node prints once its ports are open, or returns null for other text.
     */
    static NodeEndpoints parse(String line) {
        if (!line.startsWith(START)) {
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

    /** Reads the start line from the output of a node; null if it is not complete yet. */
    static NodeEndpoints read(Path output) throws IOException {
        if (!Files.exists(output)) {
            return null;
        }
        String text = Files.readString(output);
        int end = text.indexOf('\n');
        return end < 0 ? null : parse(text.substring(0, end));
    }

    /** Where a node stands and what is beside it. */
    record Place(
            String nodeId,
            String dataCentre,
            String region,
            Topology.Service service,
            URI backend) {}

    /** Writes the settings of a node with free ports, no warm-up and the token of experiments. */
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
                        ANY,
                        ANY,
                        ANY,
                        ANY,
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
