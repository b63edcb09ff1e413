package io.azurestage.store;

import io.azurestage.config.AcceptedConfig;
import io.azurestage.config.ConfigException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/** Reads the versions of the configuration from the platform's store. Thread-safe. */
public final class ConfigVersions {
    /** Key of the current version. */
    public static final String CURRENT_KEY = "azurestage/config";

    private static final String HISTORY_PREFIX = "azurestage/config-history/";

    private final PlatformStore mStore;

    /**
     * Creates a reader.
     *
     * @param store store to read from
     */
    public ConfigVersions(PlatformStore store) {
        mStore = Objects.requireNonNull(store, "store");
    }

    /**
     * Returns the key of a version in the history.
     *
     * @param number version number
     * @return the key, with the number zero-padded to 10 digits
     */
    public static String historyKey(long number) {
        return HISTORY_PREFIX + String.format(Locale.ROOT, "%010d", number);
    }

    /**
     * Reads the current version.
     *
     * @return the outcome
     */
    public CompletableFuture<VersionRead> current() {
        return read(CURRENT_KEY);
    }

    /**
     * Reads a version from the history.
     *
     * @param number version number
     * @return the outcome
     */
    public CompletableFuture<VersionRead> history(long number) {
        return read(historyKey(number));
    }

    private CompletableFuture<VersionRead> read(String key) {
        return mStore.get(key, false).thenApply(r -> decode(key, r));
    }

    private static VersionRead decode(String key, ReadResult result) {
        if (result instanceof ReadResult.Unavailable u) {
            return new VersionRead.Unavailable(u.reason());
        }
        ReadResult.Found found = (ReadResult.Found) result;
        if (found.values().isEmpty()) {
            return new VersionRead.Missing();
        }
        Versioned v = found.values().get(0);
        try {
            String json = new String(v.value(), StandardCharsets.UTF_8);
            return new VersionRead.Found(AcceptedConfig.parse(json), v.revision());
        } catch (ConfigException e) {
            return new VersionRead.Unreadable(
                    "key " + key + " is not understood: " + e.getMessage());
        }
    }
}
