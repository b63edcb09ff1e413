package io.azurestage.relay.link;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.wire.generated.link.Hello;
import io.azurestage.wire.generated.link.LinkMessage;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * What a node tells and gives to the nodes it is linked with.
 *
 * @param identity this node
 * @param callIds numbers the calls of this process over all its links: the other end takes a number
 *     that it has seen before for a repetition, also when a link was closed and opened anew
 * @param configVersion version of the configuration in force, 0 if none
 * @param document the configuration in force, for nodes that lack it
 * @param sink takes documents of other nodes
 */
public record LinkSelf(
        NodeIdentity identity,
        LongSupplier callIds,
        LongSupplier configVersion,
        Supplier<Optional<byte[]>> document,
        DocumentSink sink) {

    /** Takes a configuration document that another node holds. */
    @FunctionalInterface
    public interface DocumentSink {

        /**
         * Offers a document.
         *
         * @param document the bytes as the operator wrote them
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
