package io.azurestage.cli;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;

/** Parsed arguments of one command; the accessors validate what they return. */
record Args(CommandLine line) {
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(3);
    private static final String TOKEN_VARIABLE = "AZURESTAGE_TOKEN";

    boolean json() {
        return line.hasOption(Flags.JSON);
    }

    Optional<String> value(String option) {
        return Optional.ofNullable(line.getOptionValue(option));
    }

    /**
     * Returns the positional arguments.
     *
     * @throws CliException if there are fewer than {@code least} or more than {@code most}
     */
    List<String> operands(int least, int most) {
        List<String> all = line.getArgList();
        if (all.size() < least) {
            throw badInput("a required argument is missing", "see --help");
        }
        if (all.size() > most) {
            throw badInput("unexpected argument '" + all.get(most) + "'", "see --help");
        }
        return all;
    }

    Optional<Long> number(String option) {
        return value(option).map(t -> number(option, t));
    }

    private static long number(String option, String text) {
        try {
            long n = Long.parseLong(text);
            if (n >= 0) {
                return n;
            }
        } catch (NumberFormatException e) {
            // Falls through to the same error as a negative number.
        }
        throw badInput(
                "--" + option + " '" + text + "' is not a non-negative integer", "use 0 or more");
    }

    Duration timeout() {
        Duration d = number(Flags.TIMEOUT).map(Duration::ofSeconds).orElse(DEFAULT_TIMEOUT);
        if (d.isZero()) {
            throw badInput("--timeout must be positive", "use 1 or more seconds");
        }
        return d;
    }

    boolean hasStore() {
        return line.hasOption(Flags.STORE);
    }

    List<URI> stores() {
        return addresses(Flags.STORE).stream().map(a -> URI.create("http://" + a)).toList();
    }

    boolean hasNode() {
        return line.hasOption(Flags.NODE);
    }

    List<String> nodes() {
        return addresses(Flags.NODE);
    }

    private List<String> addresses(String option) {
        if (!line.hasOption(option)) {
            throw badInput("--" + option + " is missing", "pass at least one HOST:PORT");
        }
        List<String> all = new ArrayList<>();
        for (String a : line.getOptionValues(option)) {
            if (!isAddress(a)) {
                throw badInput(
                        "--" + option + " '" + a + "' is not a valid address", "use HOST:PORT");
            }
            all.add(a);
        }
        return all;
    }

    static boolean isAddress(String text) {
        try {
            URI u = URI.create("http://" + text);
            return u.getHost() != null
                    && u.getPort() > 0
                    && u.getUserInfo() == null
                    && u.getPath().isEmpty()
                    && u.getQuery() == null
                    && u.getFragment() == null;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    String token(CliContext context) {
        Optional<String> file = value(Flags.TOKEN_FILE);
        String token =
                file.isPresent()
                        ? read(file.get())
                        : context.environment().getOrDefault(TOKEN_VARIABLE, "");
        if (token.isBlank()) {
            throw badInput(
                    "the operator token is missing",
                    "set " + TOKEN_VARIABLE + " or pass a file with --" + Flags.TOKEN_FILE);
        }
        return token.strip();
    }

    static String read(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException | InvalidPathException e) {
            throw badInput("file " + file + " cannot be read", "pass a readable UTF-8 text file");
        }
    }

    static CliException badInput(String fault, String remedy) {
        return new CliException(ExitCode.BAD_INPUT, fault, remedy);
    }
}
