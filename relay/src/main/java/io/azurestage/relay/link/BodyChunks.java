package io.azurestage.relay.link;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.azurestage.relay.http.Body;
import io.azurestage.relay.http.BodyInput;
import io.azurestage.wire.generated.link.CallData;
import io.azurestage.wire.generated.link.LinkMessage;

/** Splits a body into messages, so that a long body does not delay other calls on a link. */
final class BodyChunks {
    private static final int CHUNK_BYTES = 256 << 10;

    private BodyChunks() {}

    private static int firstLength(Body body) {
        return body.length() == 0 ? 0 : Math.min(CHUNK_BYTES, body.segments().get(0).length);
    }

    static ByteString firstChunk(Body body) {
        int length = firstLength(body);
        return length == 0
                ? ByteString.EMPTY
                : UnsafeByteOperations.unsafeWrap(body.segments().get(0), 0, length);
    }

    static boolean hasMore(Body body) {
        return body.length() > firstLength(body);
    }

    /**
     * Returns the messages behind the first chunk.
     *
     * @param body a body that has more
     * @param onClosed runs when they have been written or the connection is closed
     */
    static BodyInput<LinkMessage> rest(long callId, Body body, Runnable onClosed) {
        return new BodyInput<>(
                body.segments(),
                firstLength(body),
                CHUNK_BYTES,
                (segment, from, length, last) ->
                        LinkMessage.newBuilder()
                                .setData(
                                        CallData.newBuilder()
                                                .setCallId(callId)
                                                .setBody(
                                                        UnsafeByteOperations.unsafeWrap(
                                                                segment, from, length))
                                                .setLast(last))
                                .build(),
                onClosed);
    }
}
