package io.azurestage.bench.standin;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.cli.Main;
import io.azurestage.config.Azurestage;
import io.azurestage.config.MeshConfig;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CliStoreTest {
    @TempDir Path mDir;

    private final StandInStore mStore = StandInStore.start();
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    @AfterEach
    void close() {
        mStore.close();
    }

    private int run(String... command) {
        mOut.reset();
        mErr.reset();
        String[] args = new String[command.length + 2];
        System.arraycopy(command, 0, args, 0, command.length);
        args[command.length] = "--store";
        args[command.length + 1] = mStore.uri().getAuthority();
        return Main.run(
                new PrintStream(mOut, true, StandardCharsets.UTF_8),
                new PrintStream(mErr, true, StandardCharsets.UTF_8),
                args);
    }

    private String file(int share) throws IOException {
        MeshConfig c =
                Azurestage.config()
                        .partner("hire-house", p -> p.share(share).credential("x"))
                        .service("bookings", s -> s.critical("POST", "/bookings"))
                        .build();
        return Files.writeString(mDir.resolve(share + ".json"), c.toJson()).toString();
    }

    // Guards against an exit code that contradicts the contents of the store.
    @ParameterizedTest
    @CsvSource({
        "REFUSED, 3, 50",
        "DROPPED, 3, 50",
        "ERROR_STATUS, 3, 50",
        "APPLIED_ANSWER_LOST, 0, 60",
        "APPLIED_ANSWER_GARBLED, 0, 60",
        "NOT_APPLIED_ANSWER_LOST, 4, 50"
    })
    void exitCodeOfAPushMatchesTheStore(StandInStoreFault fault, int code, int share)
            throws IOException {
        assertThat(run("config", "push", file(50))).as(mErr.toString()).isZero();
        mStore.enableFault(fault);
        assertThat(run("config", "push", file(60))).as(mErr.toString()).isEqualTo(code);
        mStore.disableFault(fault);
        assertThat(run("config", "diff", file(share))).isZero();
    }

    @Test
    void lostResponseIsResolvedByARetry() throws IOException {
        mStore.enableFaultForCalls(StandInStoreFault.NOT_APPLIED_ANSWER_LOST, 1);
        assertThat(run("config", "push", file(50))).isZero();
        assertThat(run("config", "history")).isZero();
        assertThat(mOut.toString(StandardCharsets.UTF_8)).startsWith("1  ");
    }
}
