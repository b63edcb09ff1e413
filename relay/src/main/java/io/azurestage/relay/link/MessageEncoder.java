package io.azurestage.relay.link;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.MessageLite;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import java.io.IOException;

/** Encodes length-prefixed protobuf messages, each into one buffer of the exact size. */
final class MessageEncoder extends MessageToByteEncoder<MessageLite> {
    MessageEncoder() {
        super(MessageLite.class);
    }

    @Override
    protected ByteBuf allocateBuffer(
            ChannelHandlerContext ctx, MessageLite message, boolean preferDirect) {
        int size = message.getSerializedSize();
        return ctx.alloc().ioBuffer(CodedOutputStream.computeUInt32SizeNoTag(size) + size);
    }

    @Override
    protected void encode(ChannelHandlerContext ctx, MessageLite message, ByteBuf out)
            throws IOException {
        int capacity = out.writableBytes();
        CodedOutputStream stream =
                CodedOutputStream.newInstance(out.internalNioBuffer(out.writerIndex(), capacity));
        stream.writeUInt32NoTag(message.getSerializedSize());
        message.writeTo(stream);
        stream.flush();
        out.writerIndex(out.writerIndex() + stream.getTotalBytesWritten());
    }
}
