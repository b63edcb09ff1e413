package io.azurestage.store;

import io.azurestage.config.MeshConfig;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * A request to publish a configuration.
 *
 * @param config the configuration
 * @param author who makes the change
 * @param reported highest version number that any node has reported, 0 if none has
 * @param base number of the version that the change is based on, 0 for none. If another version is
 *     current, the push is a conflict. If empty, the push replaces any current version
 */
public record Push(MeshConfig config, String author, long reported, OptionalLong base) {

    /** Validates the arguments. */
    public Push {
        Objects.requireNonNull(config, "config");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(base, "base");
        if (reported < 0) {
            throw new IllegalArgumentException("negative version number " + reported);
        }
    }

    /**
     * Creates a push that replaces any current version.
     *
     * @param config the configuration
     * @param author who makes the change
     * @return the push
     */
    public static Push of(MeshConfig config, String author) {
        return new Push(config, author, 0, OptionalLong.empty());
    }

    /**
     * Sets the highest version number that any node has reported.
     *
     * @param number version number, 0 if none
     * @return a copy with this number
     */
    public Push reported(long number) {
        return new Push(config, author, number, base);
    }

    /**
     * Sets the version that the change is based on.
     *
     * @param number version number, 0 for none
     * @return a copy with this number
     */
    public Push base(long number) {
        return new Push(config, author, reported, OptionalLong.of(number));
    }
}
