package io.azurestage.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.admission.RefusalReason;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class ExplainTest {
    @TempDir Path mDir;

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    private static String line(long millis, String message) {
        return "{\"timestamp\":"
                + millis
                + ",\"level\":\"INFO\",\"mdc\": {},\"formattedMessage\":\""
                + message
                + "\",\"throwable\":null}";
    }

    private Path log(String name, String... lines) throws IOException {
        return Files.write(mDir.resolve(name), List.of(lines));
    }

    private ExitCode explain(String id, Path... logs) {
        CliContext context =
                CliContext.system().withOutput(new PrintStream(mOut), new PrintStream(mErr));
        String[] args = new String[3 + logs.length];
        args[0] = "explain";
        args[1] = id;
        args[2] = "--logs";
        for (int i = 0; i < logs.length; i++) {
            args[3 + i] = logs[i].toString();
        }
        return new Cli(context).run(args);
    }

    private String out() {
        return mOut.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return mErr.toString(StandardCharsets.UTF_8);
    }

    @Nested
    class Explanations {
        @Test
        void entryRefusalShowsAdmittedFractionAndRetryDelay() throws IOException {
            Path log =
                    log(
                            "a.log",
                            line(
                                    1_000,
                                    "E201 REQUEST_REFUSED node=n1 id=r1 {fraction=0.838,"
                                            + " operation=read, reason=overload-below,"
                                            + " retryAfterMillis=557}"));
            assertThat(explain("r1", log)).isEqualTo(ExitCode.DONE);
            assertThat(out()).contains("admits only 0.838").contains("retry after 557 ms");
        }

        @Test
        void linesOfSeveralNodesAreInCausalOrder() throws IOException {
            Path entry =
                    log(
                            "entry.log",
                            line(
                                    2_000,
                                    "E206 ATTEMPT_FAILED node=n1 id=r1 {cause=maybe run: the"
                                            + " connection failed: reset, node=n2/i-7/5,"
                                            + " operation=read, service=books, status=502,"
                                            + " tookMillis=40}"));
            Path owner =
                    log(
                            "owner.log",
                            line(
                                    2_000,
                                    "E201 REQUEST_REFUSED node=n2 id=r1 {load=0.4,"
                                            + " operation=read, outcome=maybe-run: no answer in"
                                            + " PT0.04S, server=i-7}"));
            explain("r1", entry, owner);
            assertThat(out().indexOf("REQUEST_REFUSED"))
                    .isLessThan(out().indexOf("ATTEMPT_FAILED"));
            assertThat(out()).contains("backend server i-7 had received it");
        }

        @Test
        void serverErrorListsFailedOutgoingCallsOfTheServer() throws IOException {
            Path log =
                    log(
                            "all.log",
                            line(
                                    2_020,
                                    "E206 ATTEMPT_FAILED node=n2 id=c9 {cause=not run:"
                                            + " deadline-exceeded, operation=lookup,"
                                            + " service=stable, status=503, tookMillis=3}"),
                            line(
                                    2_040,
                                    "E206 ATTEMPT_FAILED node=n1 id=r1 {cause=server,"
                                            + " node=n2/i-7/5, operation=read, service=books,"
                                            + " status=500, tookMillis=60}"));
            explain("r1", log);
            assertThat(out()).contains("ran it and responded with status 500");
            assertThat(out()).contains("lookup of stable (not run: deadline-exceeded) x 1");
        }

        @Test
        void leftOutLinesAreReported() throws IOException {
            Path log =
                    log(
                            "a.log",
                            line(1_000, "E204 REQUEST_CANCELLED node=n1 id=r1 {tookMillis=20}"),
                            line(
                                    1_400,
                                    "E206 ATTEMPT_FAILED left out 312 lines of the last second,"
                                            + " over the limit of 200"));
            explain("r1", log);
            assertThat(out()).contains("the caller disconnected");
            assertThat(err()).contains("left out 312 lines");
        }

        @Test
        void prefixesAreSkippedAndTruncatedLinesIgnored() throws IOException {
            Path log =
                    log(
                            "bench.txt",
                            "day  worth",
                            "{\"timestamp\":17,\"formatted",
                            "  0.53 node-5 " + line(5, "E204 REQUEST_CANCELLED node=n1 id=r1 {}"));
            assertThat(explain("r1", log)).isEqualTo(ExitCode.DONE);
        }
    }

    @Nested
    class Reasons {
        @ParameterizedTest
        @EnumSource(RefusalReason.class)
        void everyAdmissionRefusalReasonIsExplained(RefusalReason reason) {
            String text = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
            assertExplained("outcome=not-run: " + text + ", server=i-1, load=2.0");
        }

        @ParameterizedTest
        @CsvSource({
            "server-leaving",
            "node-stopping",
            "no-server-of-this-service",
            "no-server",
            "overload-below"
        })
        void everyNodeRefusalReasonIsExplained(String reason) {
            assertExplained("reason=" + reason);
        }

        @ParameterizedTest
        @CsvSource({
            "maybe-run: no answer in PT1S",
            "maybe-run: the connection failed: reset",
            "maybe-run: the answer bears no signature of the server",
            "maybe-run: the answer is not HTTP",
            "maybe-run: the answer's body is not framed correctly",
            "maybe-run: the answer is larger than 33554432 bytes",
            "maybe-run: more than 1048576 bytes came before the answer",
            "maybe-run: too many bytes of unfinished answers are held",
            "maybe-run: an answer on a kept connection does not say to which request it belongs",
            "maybe-run: the server closes after an answer to another request",
            "maybe-run: the server closed the connection before its answer was complete",
            "maybe-run: the connection broke before the answer was complete",
            "maybe-run: the node passed on an answer that is not HTTP",
            "not-run: no connection to 10.0.0.1",
            "refused by the server"
        })
        void everyOutcomeIsExplained(String outcome) {
            assertExplained("outcome=" + outcome);
        }

        @ParameterizedTest
        @CsvSource({
            "'E212 KEY_REFUSED node=n id=r {configVersion=12, operation=read, reason=no-key}',"
                    + " carried no access key",
            "'E212 KEY_REFUSED node=n id=r {configVersion=12, operation=read, reason=unknown-key}',"
                    + " version 12",
            "'E213 QUOTA_EXCEEDED node=n id=r {fraction=0.300, grantAgeMillis=90, limit=35.0,"
                    + " partner=hire-house, reason=over-quota, retryAfterMillis=400}',"
                    + " hire-house",
        })
        void refusalOfPartnerIsExplained(String event, String expected) throws IOException {
            Path log = log("a.log", line(1, event));
            assertThat(explain("r", log)).isEqualTo(ExitCode.DONE);
            assertThat(out()).contains(expected);
        }

        @Test
        void timeoutIsExplained() {
            assertExplained("cause=timeout");
        }

        private void assertExplained(String fields) {
            String text = line(1, "E201 REQUEST_REFUSED node=n id=r {" + fields + "}");
            assertThat(FailureExplanation.of(LogLine.parse(text).orElseThrow())).isPresent();
        }
    }

    @Nested
    class BadInput {
        @Test
        void requestWithoutLogLineIsNegativeResult() throws IOException {
            Path log = log("a.log", line(1, "E100 NODE_STARTED node=n1 id= {service=books}"));
            assertThat(explain("r1", log)).isEqualTo(ExitCode.NEGATIVE);
            assertThat(out()).contains("no log line names it");
        }

        @Test
        void missingFileIsReported() {
            assertThat(explain("r1", mDir.resolve("none.log"))).isEqualTo(ExitCode.BAD_INPUT);
            assertThat(err()).contains("none.log cannot be read");
        }

        @Test
        void missingLogsOptionIsReported() {
            CliContext context =
                    CliContext.system().withOutput(new PrintStream(mOut), new PrintStream(mErr));
            assertThat(new Cli(context).run("explain", "r1")).isEqualTo(ExitCode.BAD_INPUT);
            assertThat(err()).contains("--logs is missing");
        }
    }
}
