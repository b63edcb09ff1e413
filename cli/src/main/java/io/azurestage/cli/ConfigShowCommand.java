package io.azurestage.cli;

import io.azurestage.config.AcceptedConfig;
import io.azurestage.store.PlatformStore;
import org.apache.commons.cli.Options;

/** Prints one version of the configuration in the store. */
final class ConfigShowCommand implements Command {
    @Override
    public String name() {
        return "config show";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "print the configuration in the store; --json adds number, author and time";
    }

    @Override
    public String example() {
        return "azurestage config show --store 10.0.0.5:2379 --number 41 > mesh.json";
    }

    @Override
    public Options options() {
        return Flags.store(new Options())
                .addOption(Flags.value(Flags.NUMBER, "N", "version, current by default"));
    }

    @Override
    public ExitCode run(Args args, CliContext context) {
        args.operands(0, 0);
        try (PlatformStore store = VersionReader.open(args, context)) {
            VersionReader versions = new VersionReader(store);
            AcceptedConfig record =
                    args.number(Flags.NUMBER).map(versions::byNumber).orElseGet(versions::current);
            if (args.json()) {
                Json.print(context, Json.tree(record));
                return ExitCode.DONE;
            }
            context.out().print(record.config().toJson());
            context.printNote(
                    "version "
                            + record.number()
                            + " of "
                            + record.acceptedAt()
                            + " by "
                            + record.author()
                            + ", change "
                            + record.changeId());
            return ExitCode.DONE;
        }
    }
}
