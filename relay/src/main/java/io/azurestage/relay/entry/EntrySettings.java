package io.azurestage.relay.entry;

import io.azurestage.relay.HeaderNames;

/**
 * Settings for the handling of callers' requests.
 *
 * @param names names of the header fields that the platform uses
 * @param ownService service of the local backend server, sent as the caller of each request
 */
public record EntrySettings(HeaderNames names, String ownService) {}
