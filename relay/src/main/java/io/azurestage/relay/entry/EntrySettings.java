package io.azurestage.relay.entry;

import io.azurestage.relay.HeaderNames;
import java.net.InetSocketAddress;
import java.util.function.Predicate;

/**
 * Settings of an entry.
 *
 * @param names header fields of the platform
 * @param ownService service of the backend server beside this node
 * @param isServer whether a connection comes from that backend server and not from a client
 */
public record EntrySettings(
        HeaderNames names, String ownService, Predicate<InetSocketAddress> isServer) {}
