package io.azurestage.relay.link;

import io.azurestage.core.backend.LeaveListener;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.wire.generated.link.Hello;
import io.azurestage.wire.generated.link.LinkMessage;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Identity and configuration that a node presents to its peers.
 *
 * @param identity identity of this node
 * @param callIds generates call ids that are unique in this process across all links: a peer treats
 *     an id that it has seen before as a duplicate, even after a link was closed and reopened
 * @param configVersion version of the active configuration, 0 if there is none
 * @param document document of the active configuration, sent to peers with an older version
 * @param documentSink receives documents of peers
 * @param quotas handles the quota messages of peers
 * @param leaves receives the servers whose leaving peers remember for this node
 */
public record LinkSelf(
        NodeIdentity identity,
        LongSupplier callIds,
        LongSupplier configVersion,
        Supplier<Optional<byte[]>> document,
        DocumentSink documentSink,
        QuotaPeer quotas,
        LeaveListener leaves) {

    /** Receives the configuration document of a peer. */
    @FunctionalInterface
    public interface DocumentSink {

        /**
         * Called with a document whose version was higher than the local one.
         *
         * @param document bytes as the operator wrote them
         */
        void offer(byte[] document);
    }

    LinkMessage hello() {
        return LinkMessage.newBuilder()
                .setHello(
                        Hello.newBuilder()
                                .setNodeId(identity.nodeId())
                                .setIncarnation(identity.incarnation())
                                .setConfigVersion(configVersion.getAsLong()))
                .build();
    }
}
