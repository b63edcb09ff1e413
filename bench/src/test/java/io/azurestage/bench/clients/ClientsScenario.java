package io.azurestage.bench.clients;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.bench.clients.Crowd.Script;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Plays clients that exhaust what a node can hold. Checked is only what does not depend on the
 * speed of the machine: processes stay, their memory and descriptors stay within bounds, and
 * ordinary requests are served, or refused until a time that the refusal states.
 */
abstract class ClientsScenario {
    /** Largest request body that the nodes allow, in bytes. */
    static final int MAX_BODY_BYTES = 2 << 20;

    /** Largest request head that the nodes allow, in bytes. */
    static final int MAX_HEAD_BYTES = 16 << 10;

    private static final int READ_TIMEOUT_MILLIS = 3_000;
    private static final int MAX_TRIES = 12;
    private static final long PAUSE_NANOS = 500_000_000;
    private static final Pattern RETRY_AFTER = Pattern.compile("\r\nRetry-After: (\\d{1,3})\r\n");

    @TempDir Path mFolder;

    final List<ProcessUnderTest> mProcesses = new ArrayList<>();
    final List<AutoCloseable> mCloseables = new ArrayList<>();

    /** Targets of ordinary requests. */
    final List<Target> mOrdinary = new ArrayList<>();

    /** Ports of all listeners. */
    final List<Integer> mPorts = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        mProcesses.forEach(ProcessUnderTest::close);
        for (AutoCloseable c : mCloseables) {
            c.close();
        }
    }

    /** Plays a crowd and checks the nodes while it stays connected and after it has left. */
    void play(int port, int clients, Script script) throws IOException {
        try (Crowd crowd = new Crowd()) {
            crowd.connect(port, clients, script);
            crowd.awaitSettled(this::peakBytes);
            check("while the crowd is connected");
        }
        check("after the crowd has left");
    }

    private long peakBytes() {
        return mProcesses.stream()
                .filter(ProcessUnderTest::isAlive)
                .mapToLong(ProcessUnderTest::peakResidentBytes)
                .sum();
    }

    private void check(String when) {
        mOrdinary.forEach(t -> assertAnswered(t, when));
        for (ProcessUnderTest p : mProcesses) {
            assertThat(p.isAlive()).as("process is alive " + when).isTrue();
            assertThat(p.output()).as("output " + when).doesNotContain("OutOfMemoryError");
            assertThat(p.memoryBytes(mPorts))
                    .as("memory and unread bytes " + when)
                    .isLessThan(ProcessUnderTest.MAX_BYTES);
            assertThat(p.openDescriptors())
                    .as("open descriptors " + when)
                    .isLessThan(ProcessUnderTest.MAX_DESCRIPTORS);
        }
    }

    void assertAnswered(Target t, String when) {
        String request = Scripts.head("GET " + t.ordinaryPath(), t.host(), t.fields());
        assertThat(answer(t, request, "received 0")).as("ordinary request " + when).isTrue();
    }

    /** Checks that a body in chunks of 16 bytes reaches the server as a whole. */
    void assertServedInCalm(Target t, int length) {
        String chunk = "10\r\n" + "x".repeat(16) + "\r\n";
        String request =
                Scripts.head(
                                "POST " + t.uploadPath(),
                                t.host(),
                                t.fields() + "Transfer-Encoding: chunked\r\n")
                        + chunk.repeat(length / 16)
                        + "0\r\n\r\n";
        assertThat(send(t.port(), request)).endsWith("received " + length);
    }

    /**
     * Sends a request until it has the expected answer, or too often. After a refusal it waits for
     * as long as the refusal states.
     */
    boolean answer(Target t, String request, String expected) {
        for (int i = 0; i < MAX_TRIES; i++) {
            String answer = send(t.port(), request);
            if (answer.endsWith(expected)) {
                return true;
            }
            LockSupport.parkNanos(Math.max(PAUSE_NANOS, retryAfterNanos(answer)));
        }
        return false;
    }

    private static long retryAfterNanos(String answer) {
        Matcher m = RETRY_AFTER.matcher(answer);
        return m.find() ? Duration.ofSeconds(Long.parseLong(m.group(1))).toNanos() : 0;
    }

    /**
     * Sends a request on a connection of its own. Returns the answer, empty if the port is closed
     * or the answer takes too long. A connection must not be closed without an answer.
     */
    private static String send(int port, String request) {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.setSoTimeout(READ_TIMEOUT_MILLIS);
            int headEnd = request.indexOf("\r\n\r\n");
            String closing =
                    request.substring(0, headEnd)
                            + "\r\nConnection: close"
                            + request.substring(headEnd);
            s.getOutputStream().write(Scripts.ascii(closing));
            byte[] answer = s.getInputStream().readAllBytes();
            assertThat(answer).as("answer before the node closed the connection").isNotEmpty();
            return new String(answer, StandardCharsets.US_ASCII);
        } catch (ConnectException | SocketTimeoutException e) {
            return "";
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
