package io.azurestage.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import io.azurestage.config.AcceptedConfig;
import io.azurestage.config.ConfigDiff;
import io.azurestage.store.PlatformStore;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.Options;

/** Lists the latest configuration versions, newest first. */
final class ConfigHistoryCommand implements Command {
    private static final long DEFAULT_LIMIT = 20;
    private static final long MAX_LIMIT = 1000;

    /**
     * Limits the reads for each version listed. Version numbers may have gaps, and each number that
     * is tried costs one read from the store.
     */
    private static final long MAX_READS_PER_VERSION = 3;

    @Override
    public String name() {
        return "config history";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "list the latest versions, newest first, with what each one changed";
    }

    @Override
    public String example() {
        return "azurestage config history --store 10.0.0.5:2379 --limit 5";
    }

    @Override
    public Options options() {
        return Flags.store(new Options())
                .addOption(
                        Flags.value(Flags.LIMIT, "N", "maximum number of versions, 20 by default"));
    }

    @Override
    public ExitCode run(Args args, CliContext context) {
        args.operands(0, 0);
        long limit = args.number(Flags.LIMIT).orElse(DEFAULT_LIMIT);
        if (limit < 1 || limit > MAX_LIMIT) {
            throw Args.badInput(
                    "--limit " + limit + " is not in 1.." + MAX_LIMIT, "use a value in this range");
        }
        List<AcceptedConfig> all;
        try (PlatformStore store = VersionReader.open(args, context)) {
            all = readNewestFirst(new VersionReader(store), limit + 1);
        }
        ArrayNode json = Json.MAPPER.createArrayNode();
        for (int i = 0; i < Math.min(limit, all.size()); i++) {
            AcceptedConfig record = all.get(i);
            List<String> changes =
                    i + 1 < all.size()
                            ? ConfigDiff.between(all.get(i + 1).config(), record.config()).lines()
                            : List.of("no earlier version found in the history");
            if (args.json()) {
                json.addObject()
                        .put("number", record.number())
                        .put("changeId", record.changeId())
                        .put("author", record.author())
                        .put("acceptedAt", record.acceptedAt().toString())
                        .set("difference", Json.strings(changes));
            } else {
                context.out()
                        .println(
                                record.number()
                                        + "  "
                                        + record.acceptedAt()
                                        + "  "
                                        + record.author()
                                        + "  change "
                                        + record.changeId());
                changes.forEach(c -> context.out().println("    " + c));
            }
        }
        if (args.json()) {
            Json.print(context, Json.object().set("versions", json));
        }
        return ExitCode.DONE;
    }

    private static List<AcceptedConfig> readNewestFirst(VersionReader versions, long limit) {
        List<AcceptedConfig> all = new ArrayList<>();
        AcceptedConfig current = versions.current();
        all.add(current);
        long oldest = Math.max(1, current.number() - limit * MAX_READS_PER_VERSION);
        for (long n = current.number() - 1; n >= oldest && all.size() < limit; n--) {
            Optional<AcceptedConfig> record = versions.history(n);
            record.ifPresent(all::add);
        }
        return all;
    }
}
