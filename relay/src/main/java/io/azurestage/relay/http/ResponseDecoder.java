package io.azurestage.relay.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes a server's responses and detects surplus bytes after a response. */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_HEAD_BYTES = 64 << 10;

    private boolean mWithoutBody;

    ResponseDecoder() {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_HEAD_BYTES)
                        .setMaxHeaderSize(MAX_HEAD_BYTES));
    }

    /** Sets the method of the request that the next response belongs to. */
    void expectResponseTo(String method) {
        mWithoutBody = method.equals("HEAD");
    }

    /** Reports whether bytes have been received that are not part of a decoded response. */
    boolean hasSurplusBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mWithoutBody || super.isContentAlwaysEmpty(message);
    }
}
