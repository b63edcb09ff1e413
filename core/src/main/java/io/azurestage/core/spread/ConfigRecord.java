package io.azurestage.core.spread;

import java.time.Instant;
import java.util.Objects;

/**
 * An accepted configuration version with its document. Ordered by version.
 *
 * @param number version number, from 1
 * @param changeId random id of the change, not empty
 * @param author author of the change
 * @param acceptedAt time at which the store accepted it, in whole milliseconds
 * @param document configuration as canonical JSON text, at most {@link #MAX_DOCUMENT_BYTES} in
 *     UTF-8
 */
public record ConfigRecord(
        long number, String changeId, String author, Instant acceptedAt, String document)
        implements Comparable<ConfigRecord> {
    /** Maximum document size in bytes of UTF-8, set by the platform's key-value service. */
    public static final int MAX_DOCUMENT_BYTES = 1 << 20;

    /** Validates the components. */
    public ConfigRecord {
        Objects.requireNonNull(changeId, "changeId");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(acceptedAt, "acceptedAt");
        Objects.requireNonNull(document, "document");
        if (number < 1 || changeId.isEmpty()) {
            throw new IllegalArgumentException(
                    "a configuration record needs a number of at least 1 and a change id");
        }
    }

    /**
     * Returns the id of the version.
     *
     * @return number and change id
     */
    public VersionId version() {
        return new VersionId(number, changeId);
    }

    @Override
    public int compareTo(ConfigRecord o) {
        return version().compareTo(o.version());
    }
}
