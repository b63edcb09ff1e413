package io.azurestage.cli;

import io.azurestage.config.Azurestage;
import io.azurestage.config.ConfigException;
import io.azurestage.config.MeshConfig;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Reads configurations from files or standard input. */
final class ConfigFiles {
    private static final String STANDARD_INPUT = "-";

    private ConfigFiles() {}

    /**
     * Reads and parses a configuration; {@code -} stands for standard input.
     *
     * @throws CliException if it cannot be read or parsed
     */
    static MeshConfig read(String file, CliContext context) {
        String text = STANDARD_INPUT.equals(file) ? readStandardInput(context) : Args.read(file);
        try {
            return Azurestage.parse(text);
        } catch (ConfigException e) {
            throw new CliException(
                    ExitCode.BAD_INPUT,
                    file + ": " + e.path() + ": " + e.problem().message(),
                    e.problem().remedy());
        }
    }

    private static String readStandardInput(CliContext context) {
        try {
            return new String(context.in().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw Args.badInput("standard input cannot be read", "pass a file");
        }
    }
}
