/** Connections between nodes: protobuf messages over Netty, many calls at once on each. */
package io.azurestage.relay.link;
