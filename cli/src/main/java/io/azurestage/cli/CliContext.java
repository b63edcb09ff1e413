package io.azurestage.cli;

import io.azurestage.core.time.TimeSource;
import io.azurestage.store.EtcdStore;
import io.azurestage.store.PlatformStore;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiFunction;
import java.util.function.Consumer;

/** What a command takes from its surroundings. */
record CliContext(
        InputStream in,
        PrintStream out,
        PrintStream err,
        Map<String, String> environment,
        TimeSource time,
        Consumer<Duration> sleep,
        BiFunction<List<URI>, Duration, PlatformStore> stores) {

    static CliContext system() {
        return new CliContext(
                System.in,
                System.out,
                System.err,
                System.getenv(),
                TimeSource.system(),
                d -> LockSupport.parkNanos(d.toNanos()),
                EtcdStore::connect);
    }

    CliContext withOutput(PrintStream output, PrintStream errors) {
        return new CliContext(in, output, errors, environment, time, sleep, stores);
    }

    /** Prints a note that is no part of the result. */
    void printNote(String text) {
        err.println("azurestage: " + text);
    }
}
