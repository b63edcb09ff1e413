package io.azurestage.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.azurestage.cli.Main;
import io.azurestage.config.MeshConfig;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Result of running the operators' command-line tool inside this process. */
record ToolRun(int exitCode, JsonNode result, String errors) {
    /** Exit code of the tool if the store is unavailable. */
    static final int UNAVAILABLE = 3;

    /** Runs {@code config push} and writes the files that it reads to a folder. */
    static ToolRun push(Path folder, MeshConfig config, URI store, List<NodeEndpoints> nodes)
            throws IOException {
        Path file = folder.resolve("push.config");
        Path token = folder.resolve("operator.token");
        Files.writeString(file, config.toJson());
        Files.writeString(token, NodeEndpoints.OPERATOR_TOKEN);
        return run(
                "config",
                "push",
                file.toString(),
                "--store",
                store.getAuthority(),
                "--node",
                nodes.get(0).admin().getAuthority(),
                "--token-file",
                token.toString(),
                "--author",
                "bench",
                "--json");
    }

    private static ToolRun run(String... args) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code =
                Main.run(
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8),
                        args);
        byte[] text = out.toByteArray();
        JsonNode result =
                text.length == 0 ? MissingNode.getInstance() : new ObjectMapper().readTree(text);
        return new ToolRun(code, result, err.toString(StandardCharsets.UTF_8).strip());
    }

    long number() {
        return result.path("number").asLong();
    }
}
