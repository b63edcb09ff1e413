package io.azurestage.relay.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes responses; those to HEAD requests have no body. */
final class ReplyEncoder extends HttpResponseEncoder {
    private boolean mOmitBody;

    /** Sets whether the next response answers a HEAD request. */
    void setOmitBody(boolean omitBody) {
        mOmitBody = omitBody;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return mOmitBody || super.isContentAlwaysEmpty(response);
    }
}
