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
 * The traffic configuration in force. It never goes back to a lower version, wherever a document
 * comes from. Used on the event loop only.
 */
public final class ConfigFeed implements PrefixFeed.Listener {

    /** Reads a document. */
    @FunctionalInterface
    public interface Decoder {

        /**
         * Reads a document.
         *
         * @param document bytes as the operator wrote them
         * @return the configuration
         * @throws IOException if it cannot be read; the message says where
         */
        TrafficConfig decode(byte[] document) throws IOException;
    }

    private final String mKey;
    private final Decoder mDecoder;
    private final Consumer<TrafficConfig> mAdopted;
    private final EventLog mEvents;
    private byte[] mDocument;
    private long mVersion;

    /**
     * Creates a feed without a configuration.
     *
     * @param key key of the newest configuration
     * @param decoder reads it
     * @param adopted hears of each configuration that is put in force
     * @param events log of events
     */
    public ConfigFeed(
            String key, Decoder decoder, Consumer<TrafficConfig> adopted, EventLog events) {
        mKey = key;
        mDecoder = decoder;
        mAdopted = adopted;
        mEvents = events;
    }

    /**
     * Offers a document from the store or from another node.
     *
     * @param document the bytes
     * @param source where it came from, for the log
     */
    public void offer(byte[] document, String source) {
        TrafficConfig config;
        try {
            config = mDecoder.decode(document);
        } catch (IOException | IllegalArgumentException e) {
            mEvents.record(
                    EventType.CONFIG_REFUSED,
                    Map.of("reason", String.valueOf(e.getMessage()), "source", source));
            return;
        }
        if (config.version() <= mVersion) {
            return;
        }
        mVersion = config.version();
        mDocument = document.clone();
        mAdopted.accept(config);
        mEvents.record(
                EventType.CONFIG_ADOPTED,
                Map.of(
                        "version", Long.toString(mVersion),
                        "routes", Integer.toString(config.routes().size()),
                        "source", source));
    }

    /**
     * Returns the version in force.
     *
     * @return the version, 0 if no configuration is known
     */
    public long version() {
        return mVersion;
    }

    /**
     * Returns the document in force.
     *
     * @return its bytes as the operator wrote them, or empty
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
            offer(value.value(), "store");
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
