package io.azurestage.cli;

import org.apache.commons.cli.Options;

/** Prints a configuration file in canonical form. */
final class ConfigPrintCommand implements Command {
    @Override
    public String name() {
        return "config print";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "print a configuration file in canonical form; - reads standard input";
    }

    @Override
    public String example() {
        return "azurestage config print mesh.json > canonical.json";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public ExitCode run(Args args, CliContext context) {
        String file = args.operands(1, 1).get(0);
        context.out().print(ConfigFiles.read(file, context).toJson());
        return ExitCode.DONE;
    }
}
