package io.azurestage.cli;

import io.azurestage.config.ConfigDiff;
import io.azurestage.config.MeshConfig;
import io.azurestage.store.PlatformStore;
import java.util.List;
import org.apache.commons.cli.Options;

/** Shows the differences between two configurations, from files or from the store. */
final class ConfigDiffCommand implements Command {
    @Override
    public String name() {
        return "config diff";
    }

    @Override
    public String arguments() {
        return "[OLD_FILE] FILE";
    }

    @Override
    public String summary() {
        return "show how FILE differs from OLD_FILE, by default from the version in the store;"
                + " exit code 1 if it does";
    }

    @Override
    public String example() {
        return "azurestage config diff mesh.json --store 10.0.0.5:2379";
    }

    @Override
    public Options options() {
        return Flags.store(new Options())
                .addOption(
                        Flags.value(Flags.NUMBER, "N", "version in the store, current by default"));
    }

    @Override
    public ExitCode run(Args args, CliContext context) {
        List<String> files = args.operands(1, 2);
        MeshConfig after = ConfigFiles.read(files.get(files.size() - 1), context);
        MeshConfig before =
                files.size() == 2
                        ? ConfigFiles.read(files.get(0), context)
                        : readFromStore(args, context);
        ConfigDiff diff = ConfigDiff.between(before, after);
        if (args.json()) {
            Json.print(context, Json.object().set("difference", Json.strings(diff.lines())));
        } else {
            diff.lines().forEach(context.out()::println);
        }
        return diff.isEmpty() ? ExitCode.DONE : ExitCode.NEGATIVE;
    }

    private static MeshConfig readFromStore(Args args, CliContext context) {
        try (PlatformStore store = VersionReader.open(args, context)) {
            VersionReader versions = new VersionReader(store);
            return args.number(Flags.NUMBER)
                    .map(versions::byNumber)
                    .orElseGet(versions::current)
                    .config();
        }
    }
}
