package io.azurestage.relay;

import io.azurestage.relay.fleet.ConfigFeed;
import io.azurestage.store.PlatformStore;

/**
 * What a node needs from its platform: header names, store, keys and configuration decoder.
 *
 * @param names names of the header fields
 * @param store the platform's store
 * @param configPrefix key prefix under which the operator writes
 * @param configKey key of the latest configuration
 * @param configDecoder decodes the configuration document
 */
public record PlatformPort(
        HeaderNames names,
        PlatformStore store,
        String configPrefix,
        String configKey,
        ConfigFeed.Decoder configDecoder) {}
