package io.azurestage.cli;

import io.azurestage.config.AcceptedConfig;
import io.azurestage.store.ConfigVersions;
import io.azurestage.store.PlatformStore;
import io.azurestage.store.VersionRead;
import java.util.Optional;

/** Reads versions from the store and turns failures into exit codes. */
final class VersionReader {
    private final ConfigVersions mVersions;

    VersionReader(PlatformStore store) {
        mVersions = new ConfigVersions(store);
    }

    static PlatformStore open(Args args, CliContext context) {
        return context.stores().apply(args.stores(), args.timeout());
    }

    AcceptedConfig current() {
        return found(mVersions.current().join())
                .orElseThrow(
                        () ->
                                new CliException(
                                        ExitCode.NEGATIVE,
                                        "the store holds no configuration",
                                        "push one with azurestage config push FILE"));
    }

    /** Returns the version of a number, which may be the current one. */
    AcceptedConfig byNumber(long number) {
        Optional<AcceptedConfig> past = history(number);
        if (past.isPresent()) {
            return past.get();
        }
        AcceptedConfig current = current();
        if (current.number() == number) {
            return current;
        }
        throw new CliException(
                ExitCode.NEGATIVE,
                "the store holds no version " + number,
                "see azurestage config history");
    }

    Optional<AcceptedConfig> history(long number) {
        return found(mVersions.history(number).join());
    }

    private static Optional<AcceptedConfig> found(VersionRead read) {
        if (read instanceof VersionRead.Found f) {
            return Optional.of(f.record());
        }
        if (read instanceof VersionRead.Unavailable u) {
            throw new CliException(
                    ExitCode.UNAVAILABLE,
                    "the store does not answer: " + u.reason(),
                    "check --store and try again");
        }
        if (read instanceof VersionRead.Unreadable u) {
            throw new CliException(
                    ExitCode.BAD_INPUT,
                    u.reason(),
                    "use the release that wrote it, or a newer one");
        }
        return Optional.empty();
    }
}
