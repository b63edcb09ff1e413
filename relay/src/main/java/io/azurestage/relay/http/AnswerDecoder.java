package io.azurestage.relay.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes a server's answers, and tells whether bytes are left over after one. */
final class AnswerDecoder extends HttpResponseDecoder {
    private static final int MAX_HEAD_BYTES = 64 << 10;

    private boolean mWithoutBody;

    AnswerDecoder() {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_HEAD_BYTES)
                        .setMaxHeaderSize(MAX_HEAD_BYTES));
    }

    /** Sets the method of the request whose answer comes next. */
    void expect(String method) {
        mWithoutBody = method.equals("HEAD");
    }

    /** Reports whether bytes were received that no answer has taken so far. */
    boolean hasLeftover() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mWithoutBody || super.isContentAlwaysEmpty(message);
    }
}
