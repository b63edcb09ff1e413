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

/**
 * Environment of a command: streams, environment variables, clock and store connections.
 *
 * @param sleep blocks the calling thread for a duration
 * @param stores connects to a store, given its endpoints and the timeout of one call
 */
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

    /** Prints a diagnostic line to standard error, apart from the result. */
    void printNote(String text) {
        err.println("azurestage: " + text);
    }
}
