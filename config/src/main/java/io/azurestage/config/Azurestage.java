package io.azurestage.config;

import java.util.List;

/**
 * Entry point of the configuration library for operators.
 *
 * <p>Example:
 *
 * <pre>{@code
 * MeshConfig config =
 *         Azurestage.config()
 *                 .partner("hire-house", p -> p.share(60).floor(10).credential("secret"))
 *                 .service("bookings", s -> s.critical("POST", "/bookings"))
 *                 .retryAllowance(3)
 *                 .build();
 * System.out.print(config.toJson());
 * }</pre>
 */
public final class Azurestage {
    private Azurestage() {}

    /**
     * Starts an empty configuration.
     *
     * @return a builder
     */
    public static ConfigBuilder config() {
        return new ConfigBuilder();
    }

    /**
     * Parses a configuration. Unknown, missing and duplicate fields are rejected; the values are
     * validated by {@link #check}.
     *
     * @param json JSON text as returned by {@link MeshConfig#toJson()}
     * @return the configuration
     * @throws ConfigException if the text is not a configuration; the message names the JSON path,
     *     what is expected and the remedy
     */
    public static MeshConfig parse(String json) {
        return ConfigJson.parse(json);
    }

    /**
     * Validates a configuration.
     *
     * @param config any configuration
     * @return all problems in the order of the document, empty if the configuration can be pushed
     */
    public static List<ConfigProblem> check(MeshConfig config) {
        return new ConfigValidator().check(config);
    }
}
