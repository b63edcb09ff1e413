package io.azurestage.relay;

import io.azurestage.relay.fleet.ConfigFeed;
import io.azurestage.store.PlatformStore;

/**
 * What a platform brings: names, keys and codecs.
 *
 * @param names header fields
 * @param store the platform's store
 * @param configPrefix beginning of the operator's keys
 * @param configKey key of the newest configuration
 * @param configDecoder reads the configuration
 */
public record PlatformPort(
        HeaderNames names,
        PlatformStore store,
        String configPrefix,
        String configKey,
        ConfigFeed.Decoder configDecoder) {}
