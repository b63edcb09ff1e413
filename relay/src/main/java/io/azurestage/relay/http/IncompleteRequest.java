package io.azurestage.relay.http;

import io.azurestage.core.memory.SegmentedBuffer;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;
import java.util.Map;

/** A request whose head has been received, and the part of its body that has been. */
final class IncompleteRequest {
    /** Estimated memory of the objects for a header field, apart from its text. */
    private static final int FIELD_BYTES = 160;

    private final HttpRequest mHead;
    private final long mHeadBytes;
    private final SegmentedBuffer mBody = new SegmentedBuffer();

    IncompleteRequest(HttpRequest head) {
        mHead = head;
        mHeadBytes = memoryOf(head);
    }

    private static long memoryOf(HttpRequest head) {
        long bytes = head.uri().length();
        for (Map.Entry<String, String> f : head.headers()) {
            bytes += FIELD_BYTES + f.getKey().length() + f.getValue().length();
        }
        return bytes;
    }

    HttpRequest head() {
        return mHead;
    }

    /** Returns the length of the body as far as it has been received, in bytes. */
    long length() {
        return mBody.length();
    }

    /** Returns the estimated memory in use, in bytes. */
    long heldBytes() {
        return mHeadBytes + mBody.capacity();
    }

    void append(HttpContent part) {
        mBody.append(part.content().nioBuffer());
    }

    /** Returns the request, whose body is complete now. */
    InboundRequest toRequest(InetSocketAddress remote) {
        return new InboundRequest(
                mHead.method().name(),
                mHead.uri(),
                mHead.headers().get(HttpHeaderNames.HOST, ""),
                Fields.endToEnd(mHead.headers()),
                Body.ofSegments(mBody.segments()),
                remote);
    }
}
