package io.azurestage.core.spread;

import java.util.Objects;

/**
 * Id of a configuration version. Versions are totally ordered by number, then by change id.
 *
 * @param number version number, from 1; 0 means no version
 * @param changeId random id of the change
 */
public record VersionId(long number, String changeId) implements Comparable<VersionId> {
    /** Stands for no version; lower than every version. */
    public static final VersionId NONE = new VersionId(0, "");

    /** Validates the components. */
    public VersionId {
        Objects.requireNonNull(changeId, "changeId");
        if (number < 0) {
            throw new IllegalArgumentException("version number " + number + " is negative");
        }
    }

    @Override
    public int compareTo(VersionId o) {
        int c = Long.compare(number, o.number);
        return c != 0 ? c : changeId.compareTo(o.changeId);
    }
}
