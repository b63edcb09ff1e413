package io.azurestage.cli;

import io.azurestage.config.Azurestage;
import io.azurestage.config.ConfigException;
import io.azurestage.config.MeshConfig;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Reads configurations from files. */
final class ConfigFiles {
    private static final String STANDARD_INPUT = "-";

    private ConfigFiles() {}

    static MeshConfig read(String file, CliContext context) {
        String text = STANDARD_INPUT.equals(file) ? standardInput(context) : Args.read(file);
        try {
            return Azurestage.parse(text);
        } catch (ConfigException e) {
            throw new CliException(
                    ExitCode.BAD_INPUT,
                    file + ": " + e.path() + ": " + e.problem().message(),
                    e.problem().remedy());
        }
    }

    private static String standardInput(CliContext context) {
        try {
            return new String(context.in().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw Args.badInput("standard input cannot be read", "name a file");
        }
    }
}
