package io.azurestage.relay.link;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.azurestage.wire.generated.link.CallData;
import io.azurestage.wire.generated.link.LinkMessage;
import java.util.function.Consumer;

/** Splits a body into messages, so that a long body does not delay other calls on a link. */
final class BodyParts {
    private static final int PART_BYTES = 256 << 10;

    private BodyParts() {}

    static ByteString first(byte[] body) {
        return UnsafeByteOperations.unsafeWrap(body, 0, Math.min(PART_BYTES, body.length));
    }

    static boolean hasMore(byte[] body) {
        return body.length > PART_BYTES;
    }

    static void rest(long callId, byte[] body, Consumer<LinkMessage> out) {
        for (int from = PART_BYTES; from < body.length; from += PART_BYTES) {
            int length = Math.min(PART_BYTES, body.length - from);
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
