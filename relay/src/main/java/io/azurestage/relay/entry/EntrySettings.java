package io.azurestage.relay.entry;

import io.azurestage.relay.HeaderNames;

/**
 * Settings of an entry.
 *
 * @param names header fields of the platform
 * @param ownService service of the backend server beside this node
 */
public record EntrySettings(HeaderNames names, String ownService) {}
