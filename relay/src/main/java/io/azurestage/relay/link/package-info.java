/** Links between nodes: multiplexed calls as protobuf messages over Netty connections. */
package io.azurestage.relay.link;
