package io.azurestage.relay.fleet;

import io.azurestage.core.event.EventLog;
import io.azurestage.core.event.EventType;
import io.azurestage.core.route.TrafficConfig;
import io.azurestage.store.Versioned;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Holds the active traffic configuration. A document replaces it only if its version is higher,
 * whether it comes from the store or from another node. Not thread-safe; use it on the event loop
 * only.
 */
public final class ConfigFeed implements PrefixFeed.Listener {

    /** Decodes configuration documents. */
    @FunctionalInterface
    public interface Decoder {

        /**
         * Decodes a document.
         *
         * @param document bytes as the operator wrote them
         * @return the decoded configuration
         * @throws IOException if the document is invalid; the message names the place
         */
        TrafficConfig decode(byte[] document) throws IOException;
    }

    private static final String STORE = "store";

    private final String mKey;
    private final Decoder mDecoder;
    private final Consumer<TrafficConfig> mOnAdopted;
    private final ConfigSpread mSpread;
    private final Runnable mOnSilentWatch;
    private final EventLog mEvents;
    private byte[] mDocument;
    private long mVersion;
    private long mStoredVersion;

    /**
     * Creates a feed without a configuration.
     *
     * @param key store key of the latest configuration
     * @param decoder decodes documents
     * @param onAdopted called with each configuration that becomes active
     * @param spread passes versions on to other nodes
     * @param onSilentWatch called when another node has read a version that this one has not
     * @param events event log
     */
    public ConfigFeed(
            String key,
            Decoder decoder,
            Consumer<TrafficConfig> onAdopted,
            ConfigSpread spread,
            Runnable onSilentWatch,
            EventLog events) {
        mKey = key;
        mDecoder = decoder;
        mOnAdopted = onAdopted;
        mSpread = spread;
        mOnSilentWatch = onSilentWatch;
        mEvents = events;
    }

    /**
     * Activates a document of another node if its version is higher than the active one. A document
     * that cannot be decoded is logged and ignored.
     *
     * @param document bytes as the operator wrote them
     */
    public void receive(byte[] document) {
        if (offer(document, "node")) {
            mSpread.onReceived(mVersion, () -> mStoredVersion, mOnSilentWatch);
        }
    }

    private boolean offer(byte[] document, String source) {
        TrafficConfig config;
        try {
            config = mDecoder.decode(document);
        } catch (IOException | IllegalArgumentException e) {
            mEvents.record(
                    EventType.CONFIG_REFUSED,
                    Map.of("reason", String.valueOf(e.getMessage()), "source", source));
            return false;
        }
        if (source.equals(STORE)) {
            mStoredVersion = Math.max(mStoredVersion, config.version());
        }
        if (config.version() <= mVersion) {
            return false;
        }
        mVersion = config.version();
        mDocument = document.clone();
        mOnAdopted.accept(config);
        mEvents.record(
                EventType.CONFIG_ADOPTED,
                Map.of(
                        "version", Long.toString(mVersion),
                        "routes", Integer.toString(config.routes().size()),
                        "source", source));
        return true;
    }

    /**
     * Returns the version of the active configuration.
     *
     * @return the version, 0 if there is no configuration
     */
    public long version() {
        return mVersion;
    }

    /**
     * Returns the document of the active configuration.
     *
     * @return bytes as the operator wrote them, or empty if there is no configuration
     */
    public Optional<byte[]> document() {
        return Optional.ofNullable(mDocument);
    }

    @Override
    public void listed(List<Versioned> values) {
        values.forEach(this::put);
    }

    @Override
    public void put(Versioned value) {
        if (value.key().equals(mKey)) {
            if (offer(value.value(), STORE)) {
                mSpread.onRead();
            }
        }
    }

    @Override
    public void removed(String key) {
        if (key.equals(mKey)) {
            mEvents.record(
                    EventType.CONFIG_REFUSED,
                    Map.of("reason", "the key was removed; the version in force stays"));
        }
    }
}
