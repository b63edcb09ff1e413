package io.azurestage.cli;

import java.io.PrintStream;

/** Entry point of the command-line tool {@code azurestage}. */
public final class Main {
    private static final String LOG_SETTINGS = "logback.configurationFile";

    private Main() {}

    /**
     * Runs one command within this process.
     *
     * @param out where results go
     * @param err where notes and errors go, one line each
     * @param args command line, see {@code azurestage --help}
     * @return exit code: 0 done, 1 negative result, 2 bad usage or input, 3 unavailable, 4 unknown
     *     outcome
     */
    public static int run(PrintStream out, PrintStream err, String... args) {
        return new Cli(CliContext.system().withOutput(out, err)).run(args).number();
    }

    /**
     * Runs one command and ends the process with its exit code: 0 done, 1 negative result, 2 bad
     * usage or input, 3 unavailable, 4 unknown outcome.
     *
     * @param args command line, see {@code azurestage --help}
     */
    public static void main(String[] args) {
        // Read when the first logger is made. Failures are reported in one line, not as logs.
        if (System.getProperty(LOG_SETTINGS) == null) {
            System.setProperty(LOG_SETTINGS, "azurestage-cli-logback.xml");
        }
        System.exit(run(System.out, System.err, args));
    }
}
