package io.azurestage.cli;

import java.io.PrintStream;

/** Entry point of the command-line tool {@code azurestage}. */
public final class Main {
    private static final String LOGBACK_CONFIG_PROPERTY = "logback.configurationFile";

    private Main() {}

    /**
     * Runs one command within this process.
     *
     * @param out stream for results
     * @param err stream for diagnostics and errors, one line each
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
        // Must be set before the first logger is created. The tool reports failures as one line on
        // standard error, not as log output.
        if (System.getProperty(LOGBACK_CONFIG_PROPERTY) == null) {
            System.setProperty(LOGBACK_CONFIG_PROPERTY, "azurestage-cli-logback.xml");
        }
        System.exit(run(System.out, System.err, args));
    }
}
