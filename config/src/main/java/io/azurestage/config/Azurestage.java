package io.azurestage.config;

import com.fasterxml.jackson.core.JsonProcessingException;

/**
 * Entry point of the operators' library.
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
     * Parses a configuration.
     *
     * @param json JSON text as printed by {@link MeshConfig#toJson()}
     * @return the configuration
     * @throws IllegalArgumentException if the text is not a configuration; the message says where
     */
    public static MeshConfig parse(String json) {
        try {
            return ConfigJson.parse(json);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not a configuration: " + e.getMessage(), e);
        }
    }
}
