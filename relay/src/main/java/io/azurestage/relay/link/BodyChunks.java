package io.azurestage.relay.link;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.azurestage.wire.generated.link.CallData;
import io.azurestage.wire.generated.link.LinkMessage;
import java.util.function.Consumer;

/** Splits a body into messages, so that a long body does not delay other calls on a link. */
final class BodyChunks {
    private static final int CHUNK_BYTES = 256 << 10;

    private BodyChunks() {}

    static ByteString firstChunk(byte[] body) {
        return UnsafeByteOperations.unsafeWrap(body, 0, Math.min(CHUNK_BYTES, body.length));
    }

    static boolean hasMore(byte[] body) {
        return body.length > CHUNK_BYTES;
    }

    static void sendRest(long callId, byte[] body, Consumer<LinkMessage> out) {
        for (int from = CHUNK_BYTES; from < body.length; from += CHUNK_BYTES) {
            int length = Math.min(CHUNK_BYTES, body.length - from);
            CallData data =
                    CallData.newBuilder()
                            .setCallId(callId)
                            .setBody(UnsafeByteOperations.unsafeWrap(body, from, length))
                            .setLast(from + length == body.length)
                            .build();
            out.accept(LinkMessage.newBuilder().setData(data).build());
        }
    }
}
