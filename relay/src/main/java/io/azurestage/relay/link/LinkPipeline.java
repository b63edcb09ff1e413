package io.azurestage.relay.link;

import io.azurestage.mesh.FrameDecoder;
import io.azurestage.wire.generated.link.LinkMessage;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.stream.ChunkedWriteHandler;
import java.util.concurrent.atomic.AtomicLong;

/** Adds the handlers that both ends of a link have in common. */
final class LinkPipeline {
    /** Largest number of flushes in one event loop iteration that are merged into one write. */
    private static final int MAX_MERGED_FLUSHES = 64;

    private static final AtomicLong PARTIAL_BYTES = new AtomicLong();

    private LinkPipeline() {}

    static void add(ChannelPipeline pipeline, ChannelHandler lastHandler) {
        pipeline.addLast(new FlushConsolidationHandler(MAX_MERGED_FLUSHES, true))
                .addLast(new FrameDecoder(PARTIAL_BYTES))
                .addLast(new ProtobufDecoder(LinkMessage.getDefaultInstance()))
                .addLast(new MessageEncoder())
                .addLast(new ChunkedWriteHandler())
                .addLast(lastHandler);
    }
}
