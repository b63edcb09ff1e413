package io.azurestage.bench.standin;

import io.azurestage.core.time.TimeSource;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Runs a {@link StandInStore} as a separate process until the process is killed. */
public final class StandInStoreMain {
    private static final int BAD_USAGE = 2;

    private StandInStoreMain() {}

    /**
     * Starts the store and prints the addresses of its API and control API on one line.
     *
     * @param args {@code --port PORT}, {@code --control-port PORT}
     * @throws InterruptedException if the process is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        Options options = new Options();
        options.addOption(null, "port", true, "port of the API (default: any free port)");
        options.addOption(
                null, "control-port", true, "port of the control API (default: any free port)");
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            StandInStore store =
                    StandInStore.start(
                            TimeSource.system(), port(line, "port"), port(line, "control-port"));
            System.out.println("store " + store.uri() + " control " + store.controlUri());
        } catch (ParseException | NumberFormatException e) {
            System.err.println(
                    "stand-in store: " + e.getMessage() + "; use --port PORT --control-port PORT");
            System.exit(BAD_USAGE);
        }
        Thread.currentThread().join();
    }

    private static int port(CommandLine line, String option) {
        return Integer.parseInt(line.getOptionValue(option, "0"));
    }
}
