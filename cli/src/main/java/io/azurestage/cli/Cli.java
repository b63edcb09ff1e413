package io.azurestage.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Parses the command line, selects a command and runs it. */
final class Cli {
    private final CliContext mContext;
    private final List<Command> mCommands =
            List.of(
                    new ConfigPrintCommand(),
                    new ConfigCheckCommand(),
                    new ConfigDiffCommand(),
                    new ConfigPushCommand(),
                    new ConfigShowCommand(),
                    new ConfigHistoryCommand(),
                    new StatusCommand(),
                    new TimelineCommand(),
                    new ExplainCommand(),
                    new DrainCommand(),
                    new CompletionCommand(this::commands));

    Cli(CliContext context) {
        mContext = context;
    }

    private List<Command> commands() {
        return mCommands;
    }

    /**
     * Runs a command line. Every failure is returned as an exit code; the message is one line on
     * standard error, without a stack trace.
     */
    ExitCode run(String... args) {
        try {
            return dispatch(args);
        } catch (CliException e) {
            mContext.printNote(toSingleLine(e.getMessage()));
            return e.code();
        } catch (RuntimeException e) {
            mContext.printNote(
                    toSingleLine("internal error: " + e)
                            + "; report it, and see azurestage status");
            return ExitCode.UNKNOWN;
        }
    }

    private static String toSingleLine(String text) {
        return text.replaceAll("\\s*\\R\\s*", " ");
    }

    private ExitCode dispatch(String[] args) {
        if (args.length == 0 || "--help".equals(args[0]) || "help".equals(args[0])) {
            printOverview(args.length == 0 ? mContext.err() : mContext.out());
            return args.length == 0 ? ExitCode.BAD_INPUT : ExitCode.DONE;
        }
        int words = "config".equals(args[0]) && args.length > 1 ? 2 : 1;
        String name = String.join(" ", Arrays.asList(args).subList(0, words));
        if ("config --help".equals(name)) {
            printOverview(mContext.out());
            return ExitCode.DONE;
        }
        Optional<Command> command =
                mCommands.stream().filter(c -> c.name().equals(name)).findFirst();
        if (command.isEmpty()) {
            throw Args.badInput("unknown command '" + name + "'", "see azurestage --help");
        }
        return run(command.get(), Arrays.copyOfRange(args, words, args.length));
    }

    private ExitCode run(Command command, String[] args) {
        Options options = command.options();
        options.addOption(null, Flags.JSON, false, "print the result as JSON");
        options.addOption(null, Flags.HELP, false, "print this help");
        if (Arrays.asList(args).contains("--help")) {
            printHelp(command, options);
            return ExitCode.DONE;
        }
        CommandLine line;
        try {
            line =
                    DefaultParser.builder()
                            .setAllowPartialMatching(false)
                            .get()
                            .parse(options, args);
        } catch (ParseException e) {
            throw Args.badInput(e.getMessage(), "see azurestage " + command.name() + " --help");
        }
        return command.run(new Args(line), mContext);
    }

    private void printOverview(PrintStream out) {
        out.println("usage: azurestage COMMAND [OPTIONS]");
        out.println();
        mCommands.forEach(c -> out.printf("  %-16s %s%n", c.name(), c.summary()));
        out.println();
        printExitCodes(out);
        out.println("Each command has an example: azurestage COMMAND --help");
    }

    private void printHelp(Command command, Options options) {
        PrintStream out = mContext.out();
        out.println(
                ("usage: azurestage " + command.name() + " " + command.arguments()).strip()
                        + " [OPTIONS]");
        out.println(command.summary());
        out.println();
        for (Option o : options.getOptions()) {
            String argument = o.hasArg() ? " " + o.getArgName() : "";
            out.printf("  %-24s %s%n", "--" + o.getLongOpt() + argument, o.getDescription());
        }
        out.println();
        out.println("example: " + command.example());
        out.println();
        printExitCodes(out);
    }

    private static void printExitCodes(PrintStream out) {
        out.println("exit codes:");
        for (ExitCode c : ExitCode.values()) {
            out.println("  " + c.number() + "  " + c.meaning());
        }
    }
}
