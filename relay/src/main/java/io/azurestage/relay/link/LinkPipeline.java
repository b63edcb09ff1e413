package io.azurestage.relay.link;

import io.azurestage.mesh.FrameDecoder;
import io.azurestage.wire.generated.link.LinkMessage;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.util.concurrent.atomic.AtomicLong;

/** The handlers that both ends of a link share. */
final class LinkPipeline {
    /** Messages written in one turn of the event loop that share one system call. */
    private static final int FLUSHES = 64;

    private static final AtomicLong PARTIAL_BYTES = new AtomicLong();

    private LinkPipeline() {}

    static void add(ChannelPipeline p, ChannelHandler end) {
        p.addLast(new FlushConsolidationHandler(FLUSHES, true))
                .addLast(new FrameDecoder(PARTIAL_BYTES))
                .addLast(new ProtobufDecoder(LinkMessage.getDefaultInstance()))
                .addLast(new MessageEncoder())
                .addLast(end);
    }
}
