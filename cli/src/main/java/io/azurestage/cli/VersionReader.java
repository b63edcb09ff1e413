package io.azurestage.cli;

import io.azurestage.config.AcceptedConfig;
import io.azurestage.store.ConfigVersions;
import io.azurestage.store.PlatformStore;
import io.azurestage.store.VersionRead;
import java.util.Optional;

/** Reads configuration versions from the store; failures become {@link CliException}s. */
final class VersionReader {
    private final ConfigVersions mVersions;

    VersionReader(PlatformStore store) {
        mVersions = new ConfigVersions(store);
    }

    static PlatformStore open(Args args, CliContext context) {
        return context.stores().apply(args.stores(), args.timeout());
    }

    /**
     * Returns the current version.
     *
     * @throws CliException if there is none or it cannot be read
     */
    AcceptedConfig current() {
        return toOptional(mVersions.current().join())
                .orElseThrow(
                        () ->
                                new CliException(
                                        ExitCode.NEGATIVE,
                                        "the store holds no configuration",
                                        "push one with azurestage config push FILE"));
    }

    /**
     * Returns the version with a number, from the history or the current one.
     *
     * @throws CliException if there is none or it cannot be read
     */
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

    /** Returns the version with a number from the history, empty if there is none. */
    Optional<AcceptedConfig> history(long number) {
        return toOptional(mVersions.history(number).join());
    }

    private static Optional<AcceptedConfig> toOptional(VersionRead read) {
        if (read instanceof VersionRead.Found f) {
            return Optional.of(f.record());
        }
        if (read instanceof VersionRead.Unavailable u) {
            throw new CliException(
                    ExitCode.UNAVAILABLE,
                    "the store is unavailable: " + u.reason(),
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
