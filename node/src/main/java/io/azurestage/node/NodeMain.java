package io.azurestage.node;

import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The {@code azurestage-node} command. */
public final class NodeMain {
    private static final int BAD_USAGE = 2;
    private static final int START_FAILED = 3;
    private static final String HELP =
            """
            usage: azurestage-node --settings FILE [--check]

            Runs the node beside one backend server until SIGTERM, then drains and stops.

              --settings FILE   JSON settings, described in docs/settings.md
              --check           check the settings and exit
              --help            show this text

            Exit codes: 0 stopped gracefully, 2 invalid arguments or settings, 3 start failed.

            Example: azurestage-node --settings node.json
            """;

    private NodeMain() {}

    /**
     * Runs the command.
     *
     * @param args see {@code --help}
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        int code = run(args);
        if (code != 0) {
            System.exit(code);
        }
    }

    private static int run(String[] args) throws InterruptedException {
        Options options =
                new Options()
                        .addOption(Option.builder().longOpt("settings").hasArg().get())
                        .addOption(Option.builder().longOpt("check").get())
                        .addOption(Option.builder("h").longOpt("help").get());
        CommandLine line;
        try {
            line = new DefaultParser().parse(options, args);
        } catch (ParseException e) {
            return fail(BAD_USAGE, e.getMessage() + "; see --help");
        }
        if (line.hasOption("help")) {
            System.out.print(HELP);
            return 0;
        }
        if (!line.hasOption("settings")) {
            return fail(BAD_USAGE, "--settings FILE is missing; see --help");
        }
        return start(line);
    }

    private static int start(CommandLine line) throws InterruptedException {
        Node node;
        try {
            NodeSettings settings = SettingsLoader.load(Path.of(line.getOptionValue("settings")));
            if (line.hasOption("check")) {
                System.out.println("settings are valid");
                return 0;
            }
            node = Node.start(settings);
        } catch (SettingsException e) {
            return fail(BAD_USAGE, e.getMessage());
        } catch (NodeStartException e) {
            return fail(START_FAILED, e.getMessage());
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndExit(node), "shutdown"));
        System.out.println(
                "azurestage-node "
                        + node.identity().nodeId()
                        + " ingress="
                        + node.ingress()
                        + " egress="
                        + node.egress()
                        + " control="
                        + node.control()
                        + " admin="
                        + node.admin());
        node.awaitStopped();
        return 0;
    }

    private static void drainAndExit(Node node) {
        node.drain();
        try {
            node.awaitStopped();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        // After a signal the JVM would exit with 128 plus its number; a graceful stop exits with 0.
        Runtime.getRuntime().halt(0);
    }

    private static int fail(int code, String message) {
        System.err.println("azurestage-node: " + message);
        return code;
    }
}
