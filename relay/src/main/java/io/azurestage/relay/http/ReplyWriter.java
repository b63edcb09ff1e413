package io.azurestage.relay.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/** Writes responses to a client; a long body is written as the client takes it. */
final class ReplyWriter {
    private ReplyWriter() {}

    /** Writes a response. The future ends when its last byte has been handed to the system. */
    static ChannelFuture write(ChannelHandlerContext ctx, Reply reply, boolean keepOpen) {
        Body body = reply.body();
        boolean isShort = body.length() <= BodyInput.HTTP_PIECE_BYTES;
        HttpResponse head = isShort ? whole(reply) : head(reply);
        for (Field f : reply.fields()) {
            head.headers().add(f.name(), f.value());
        }
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length());
        if (!keepOpen) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (isShort) {
            return ctx.writeAndFlush(head);
        }
        ctx.write(head);
        return ctx.writeAndFlush(BodyInput.ofHttp(body));
    }

    private static HttpResponse whole(Reply reply) {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(reply.status()),
                reply.body().toByteBuf(),
                Fields.UNVALIDATED,
                Fields.UNVALIDATED);
    }

    private static HttpResponse head(Reply reply) {
        return new DefaultHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(reply.status()),
                Fields.UNVALIDATED);
    }
}
