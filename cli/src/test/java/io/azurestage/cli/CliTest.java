package io.azurestage.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.config.Azurestage;
import io.azurestage.config.ConfigBuilder;
import io.azurestage.core.time.ManualTimeSource;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class CliTest {
    @TempDir Path mDir;

    private final MemoryStore mStore = new MemoryStore();
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final List<FakeNode> mNodes = new ArrayList<>();
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    @BeforeEach
    void writeFiles() throws IOException {
        for (int share : List.of(50, 60, 101)) {
            Files.writeString(mDir.resolve(share + ".json"), config(share).build().toJson());
        }
        Files.writeString(mDir.resolve("bad.json"), "{\"partners\":\n7}");
    }

    @AfterEach
    void closeNodes() {
        mNodes.forEach(FakeNode::close);
    }

    private static ConfigBuilder config(int share) {
        return Azurestage.config()
                .partner("hire-house", p -> p.share(share).credential("x"))
                .service("bookings", s -> s.critical("POST", "/bookings"));
    }

    private FakeNode node(String id, String dataCentre, long number) throws IOException {
        FakeNode n = new FakeNode(id, dataCentre, number);
        mNodes.add(n);
        return n;
    }

    /**
     * Runs a command line. DIR stands for the temporary directory, NODE for the address of the
     * first node, DOWN for an address where nothing listens.
     */
    private int run(String line) {
        mOut.reset();
        mErr.reset();
        CliContext context =
                new CliContext(
                        new ByteArrayInputStream(new byte[0]),
                        new PrintStream(mOut, true, StandardCharsets.UTF_8),
                        new PrintStream(mErr, true, StandardCharsets.UTF_8),
                        Map.of("AZURESTAGE_TOKEN", FakeNode.TOKEN),
                        mTime,
                        mTime::advance,
                        (endpoints, timeout) -> mStore);
        String[] args =
                line.replace("DIR", mDir.toString())
                        .replace("NODE", mNodes.isEmpty() ? "127.0.0.1:1" : mNodes.get(0).admin())
                        .replace("DOWN", "127.0.0.1:1")
                        .split(" ");
        return new Cli(context).run(args).number();
    }

    private String out() {
        return mOut.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return mErr.toString(StandardCharsets.UTF_8);
    }

    // Guards against exit codes that let a script take a failure for success, and against stack
    // traces in the output.
    @ParameterizedTest
    @CsvSource({
        "config print DIR/50.json, 0",
        "config print DIR/bad.json, 2",
        "config print DIR/none.json, 2",
        "config print, 2",
        "config print DIR/50.json DIR/60.json, 2",
        "config check DIR/50.json, 0",
        "config check DIR/101.json, 1",
        "config check DIR/bad.json, 2",
        "config diff DIR/50.json DIR/50.json, 0",
        "config diff DIR/50.json DIR/60.json, 1",
        "config diff DIR/50.json, 2",
        "config diff DIR/50.json --store s:1, 1",
        "config show --store s:1, 1",
        "config show --store s, 2",
        "config show --store s:1 --number x, 2",
        "config show --store s:1 --timeout 0, 2",
        "config history --store s:1 --limit 0, 2",
        "config push DIR/50.json, 2",
        "config push DIR/101.json --store s:1, 2",
        "config push DIR/50.json --store s:1, 0",
        "config push DIR/50.json --store s:1 --base 9, 1",
        "config push DIR/50.json --store s:1 --node DOWN, 3",
        "status --node DOWN, 3",
        "status --sta s:1, 2",
        "timeline --node DOWN, 3",
        "drain --node DOWN, 3",
        "drain --node DOWN --token-file DIR/none, 2",
        "completion, 0",
        "completion fish, 2",
        "config, 2",
        "frobnicate, 2",
        "--help, 0"
    })
    void exitCodeMatchesOutcome(String line, int code) {
        assertThat(run(line)).as(err()).isEqualTo(code);
        if (code >= 2) {
            assertThat(err().lines()).allMatch(l -> l.startsWith("azurestage: "));
            assertThat(err().lines().reduce((a, b) -> b).orElseThrow()).contains("; ");
            assertThat(err()).doesNotContain("Exception");
        }
    }

    @Test
    void everyCommandHasHelpWithExample() {
        Stream.of("config print", "config check", "config diff", "config push", "config show")
                .forEach(this::assertHelpHasExample);
        Stream.of("config history", "status", "timeline", "drain", "completion")
                .forEach(this::assertHelpHasExample);
    }

    private void assertHelpHasExample(String command) {
        assertThat(run(command + " --help")).isZero();
        assertThat(out()).contains("usage: azurestage " + command, "example: ", "exit codes:");
        run("completion");
        assertThat(out()).contains("\"" + command + "\"*) words=\"--");
    }

    @Nested
    class VersionCommands {
        @Test
        void pushedVersionsAreShownListedAndDiffed() {
            run("config push DIR/50.json --store s:1 --author asha");
            run("config push DIR/60.json --store s:1 --author ben --base 1 --json");
            assertThat(out()).contains("\"outcome\" : \"accepted\"", "\"number\" : 2");
            assertThat(run("config show --store s:1 --number 1")).isZero();
            assertThat(out()).isEqualTo(config(50).build().toJson());
            assertThat(run("config history --store s:1")).isZero();
            assertThat(out()).containsSubsequence("ben", "share 50 -> 60", "asha");
            assertThat(run("config diff DIR/50.json --store s:1")).isEqualTo(1);
            assertThat(out()).isEqualTo("partner hire-house: share 60 -> 50\n");
            assertThat(run("config diff DIR/50.json --store s:1 --number 1")).isZero();
        }

        // Guards against reporting a push with a lost response as accepted or as failed.
        @Test
        void pushWithLostResponseReportsUnknownOutcome() {
            mStore.loseResponses();
            assertThat(run("config push DIR/50.json --store s:1 --json")).isEqualTo(4);
            assertThat(out()).contains("\"outcome\" : \"unknown\"");
            assertThat(err()).contains("azurestage config history");
        }

        @Test
        void storeOutageIsReportedAsUnavailable() {
            mStore.down(true);
            assertThat(run("config push DIR/50.json --store s:1")).isEqualTo(3);
            assertThat(run("config history --store s:1")).isEqualTo(3);
        }
    }

    @Nested
    class NodeCommands {
        @BeforeEach
        void start() throws IOException {
            for (int i = 0; i < 5; i++) {
                node("a" + i, "east", 40 + i);
            }
            node("b0", "west", 7);
            mNodes.get(0).addMembers(mNodes);
        }

        // Guards against a new version number that is not above the one in force at the nodes,
        // which no node would adopt.
        @Test
        void pushUsesNumberAboveHighestReportedByNodes() {
            mNodes.get(3).ignoreConfigs();
            assertThat(run("config push DIR/50.json --store s:1 --node NODE")).isZero();
            assertThat(out())
                    .contains("accepted as version 43")
                    .contains("delivered to 4 of 4 nodes")
                    .contains("in force at 5 of 6 nodes");
            assertThat(err()).contains("not in force within 4 s at a3");
            assertThat(mNodes.stream().filter(n -> !n.calls("POST").isEmpty())).hasSize(4);
        }

        @Test
        void statusListsNodesThatDoNotRespond() {
            assertThat(run("status --node NODE")).isZero();
            assertThat(out().lines()).hasSize(7);
            mNodes.get(5).close();
            assertThat(run("status --node NODE --json")).isEqualTo(1);
            assertThat(out()).contains("\"unanswered\" : [ {").contains("\"nodeId\" : \"b0\"");
        }

        @Test
        void drainAffectsOnlySelectedNode() {
            assertThat(run("drain --node NODE --node-id b0")).isZero();
            assertThat(mNodes.get(5).calls("POST")).containsExactly("POST /azurestage/v1/drain");
            assertThat(run("drain --node NODE --node-id c9")).isEqualTo(2);
            assertThat(run("drain --node DOWN --node NODE")).isEqualTo(2);
        }

        @ParameterizedTest
        @ValueSource(strings = {"drain --node NODE", "config push DIR/50.json --node NODE"})
        void wrongTokenIsRejected(String line) throws IOException {
            Path token = Files.writeString(mDir.resolve("token"), "wrong\n");
            String store = line.startsWith("drain") ? "" : " --store s:1";
            int code = run(line + store + " --token-file " + token);
            assertThat(code).isEqualTo(line.startsWith("drain") ? 1 : 0);
            assertThat(err()).contains("node a0 answered with status 401; ");
        }

        @Test
        void timelineMergesEventsOfAllNodes() {
            mNodes.get(0).events(event(5, 1, "a0") + "," + event(9, 0, "a0"));
            mNodes.get(5).events(event(5, 0, "b0") + "," + event(7, 0, "b0"));
            assertThat(run("timeline --node NODE --partner a&b --number 201")).isZero();
            assertThat(out().lines().map(l -> l.split(" +")[1]))
                    .containsExactly("b0", "a0", "b0", "a0");
            assertThat(mNodes.get(5).calls("GET /azurestage/v1/events"))
                    .containsExactly("GET /azurestage/v1/events?partner=a%26b&number=201");
            assertThat(run("timeline --node NODE --node-id b0 --json --limit 1")).isZero();
            assertThat(out()).contains("\"millis\" : 7").doesNotContain("\"millis\" : 5", "a0");
        }

        private String event(int millis, int counter, String nodeId) {
            return String.format(
                    "{\"millis\":%d,\"counter\":%d,\"nodeId\":\"%s\",\"number\":201,"
                            + "\"name\":\"REQUEST_REFUSED\",\"requestId\":\"r\",\"partner\":\"p\","
                            + "\"fields\":{\"kind\":\"overloaded\"}}",
                    millis, counter, nodeId);
        }
    }
}
