package io.azurestage.relay.http;

import io.azurestage.core.memory.SegmentedBuffer;
import io.azurestage.relay.http.ResponseFilter.Owner;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.stream.ChunkedWriteHandler;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A connection to a server. It is closed if bytes arrive while no request is in progress. */
final class OutboundConnection extends ChannelInboundHandlerAdapter {
    /** Idle time after which the server may be about to close the connection. */
    private static final long MAX_FRESH_IDLE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long DEFAULT_IDLE_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Fraction of the server's stated idle timeout, so that this side closes first. */
    private static final double IDLE_LIMIT_FRACTION = 0.6;

    /** Largest response body that is buffered. */
    private static final int MAX_BODY_BYTES = 32 << 20;

    /** Largest response body that is exempt from the pool's memory limit. */
    private static final int SMALL_BODY_BYTES = 16 << 10;

    /**
     * Largest number of bytes up to the end of the expected response's head: informational
     * responses, late duplicates of responses to earlier requests, and the head itself.
     */
    private static final int MAX_BYTES_BEFORE_BODY = 1 << 20;

    private final Consumer<OutboundConnection> mOnIdle;
    private final Consumer<OutboundConnection> mOnSilent;
    private final ResponseBufferBudget mBufferBudget;
    private final ResponseDecoder mDecoder = new ResponseDecoder();
    private ChannelHandlerContext mContext;
    private OutboundCall mCall;
    private HttpResponse mHead;
    private List<Field> mFields = List.of();
    private SegmentedBuffer mBody;
    private ResponseBufferBudget.Reservation mReservation;
    private int mBytesBeforeBody;
    private long mRequestsSent;
    private boolean mSkipResponse;
    private boolean mFailed;
    private long mIdleLimitNanos = DEFAULT_IDLE_LIMIT_NANOS;
    private long mIdleSinceNanos;

    /**
     * Creates a connection that is not open yet.
     *
     * @param onIdle called when a response is complete and the connection can be used again
     * @param onSilent called when a kept connection has not answered in time
     * @param bufferBudget budget for incomplete responses
     */
    OutboundConnection(
            Consumer<OutboundConnection> onIdle,
            Consumer<OutboundConnection> onSilent,
            ResponseBufferBudget bufferBudget) {
        mOnIdle = onIdle;
        mOnSilent = onSilent;
        mBufferBudget = bufferBudget;
    }

    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new ConnectionGuard())
                .addLast(mDecoder)
                .addLast(new HttpRequestEncoder())
                .addLast(new ChunkedWriteHandler())
                .addLast(this);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        mContext = ctx;
    }

    boolean isOpen() {
        return mContext != null && mContext.channel().isActive();
    }

    boolean isFresh(long nowNanos) {
        return nowNanos - mIdleSinceNanos < MAX_FRESH_IDLE_NANOS;
    }

    boolean isExpired(long nowNanos) {
        return nowNanos - mIdleSinceNanos >= mIdleLimitNanos;
    }

    long idleLimitNanos() {
        return mIdleLimitNanos;
    }

    /** Returns when the last response was complete. */
    long idleSinceNanos() {
        return mIdleSinceNanos;
    }

    void setIdleSince(long nowNanos) {
        mIdleSinceNanos = nowNanos;
    }

    void close() {
        if (mContext != null) {
            mContext.close();
        }
    }

    void send(OutboundCall call) {
        mCall = call;
        mBytesBeforeBody = 0;
        mRequestsSent++;
        call.sentOn(
                mContext.channel(),
                () -> {
                    if (mRequestsSent > 1) {
                        mOnSilent.accept(this);
                    }
                });
        OutboundRequest r = call.request();
        mDecoder.expectResponseTo(r.method());
        boolean isShort = r.body().length() <= BodyInput.HTTP_PIECE_BYTES;
        HttpMethod method = HttpMethod.valueOf(r.method());
        HttpRequest request =
                isShort
                        ? new DefaultFullHttpRequest(
                                HttpVersion.HTTP_1_1,
                                method,
                                r.target(),
                                r.body().toByteBuf(),
                                Fields.UNVALIDATED,
                                Fields.UNVALIDATED)
                        : new DefaultHttpRequest(
                                HttpVersion.HTTP_1_1, method, r.target(), Fields.UNVALIDATED);
        for (Field f : r.fields()) {
            request.headers().add(f.name(), f.value());
        }
        request.headers().set(HttpHeaderNames.HOST, r.host());
        if (r.body().length() > 0 || !"GET".equals(r.method())) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, r.body().length());
        }
        mContext.write(request);
        if (!isShort) {
            mContext.write(BodyInput.ofHttp(r.body()));
        }
        mContext.flush();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (mCall == null || mCall.isDone()) {
                ctx.close();
                return;
            }
            if (message instanceof HttpResponse r) {
                onHead(r);
            }
            if (message instanceof HttpContent c && mHead != null) {
                onContent(c);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(HttpResponse r) {
        if (r.decoderResult().isFailure()) {
            fail("the answer is not HTTP");
            return;
        }
        if (r.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        mHead = r;
        mFields = Fields.endToEnd(r.headers());
        mBody = new SegmentedBuffer();
        Owner owner = mCall.request().responseFilter().owner(r.status().code(), mFields);
        if (owner == Owner.UNKNOWN && mRequestsSent > 1) {
            fail("an answer on a kept connection does not say to which request it belongs");
            return;
        }
        mSkipResponse = owner == Owner.OTHER_REQUEST;
    }

    private void onContent(HttpContent c) {
        if (c.decoderResult().isFailure()) {
            fail("the answer's body is not framed correctly");
            return;
        }
        if (!mSkipResponse && !buffer(c.content())) {
            return;
        }
        if (c instanceof LastHttpContent) {
            complete();
        }
    }

    private boolean buffer(ByteBuf bytes) {
        int n = bytes.readableBytes();
        int size = (int) mBody.length() + n;
        if (size > MAX_BODY_BYTES) {
            fail("the answer is larger than " + MAX_BODY_BYTES + " bytes");
            return false;
        }
        if (mReservation != null) {
            mBufferBudget.add(mReservation, n);
        } else if (size > SMALL_BODY_BYTES) {
            mReservation =
                    mBufferBudget.open(() -> fail("too many bytes of unfinished answers are held"));
            mBufferBudget.add(mReservation, size);
        }
        if (mFailed) {
            return false;
        }
        mBody.append(bytes.nioBuffer());
        return true;
    }

    private void releaseBody() {
        mBody = null;
        if (mReservation != null) {
            mBufferBudget.close(mReservation);
            mReservation = null;
        }
    }

    private void complete() {
        HttpResponse head = mHead;
        mHead = null;
        if (mSkipResponse) {
            releaseBody();
            if (!HttpUtil.isKeepAlive(head)) {
                fail("the server closes after an answer to another request");
            }
            return;
        }
        OutboundCall call = mCall;
        mCall = null;
        boolean reusable =
                HttpUtil.isKeepAlive(head) && isSelfDelimiting(head) && !mDecoder.hasSurplusBytes();
        readIdleLimit(head);
        Body body = Body.ofSegments(mBody.segments());
        releaseBody();
        if (reusable && isOpen()) {
            mOnIdle.accept(this);
        } else {
            mContext.close();
        }
        call.answered(new OutboundResult.Answered(head.status().code(), mFields, body));
    }

    private static boolean isSelfDelimiting(HttpResponse head) {
        return HttpUtil.isContentLengthSet(head)
                || HttpUtil.isTransferEncodingChunked(head)
                || head.status().code() == 204
                || head.status().code() == 304;
    }

    private void readIdleLimit(HttpResponse head) {
        String keepAlive = head.headers().get("Keep-Alive");
        if (keepAlive == null) {
            return;
        }
        for (String part : keepAlive.split(",")) {
            String[] pair = part.trim().split("=");
            if (pair.length == 2 && pair[0].equalsIgnoreCase("timeout")) {
                try {
                    // Saturates, as a server may state any number.
                    double nanos = TimeUnit.SECONDS.toNanos(Long.parseLong(pair[1].trim()));
                    mIdleLimitNanos = (long) (nanos * IDLE_LIMIT_FRACTION);
                } catch (NumberFormatException e) {
                    mIdleLimitNanos = DEFAULT_IDLE_LIMIT_NANOS;
                }
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail("the connection failed: " + cause.getMessage());
    }

    /** Handles the end of the stream, which the decoder takes for that of a body without length. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
            fail("the server closed the connection before its answer was complete");
        }
    }

    private void fail(String reason) {
        mFailed = true;
        OutboundCall call = mCall;
        mCall = null;
        mHead = null;
        releaseBody();
        if (call != null) {
            call.lost(reason);
        }
        mContext.close();
    }

    /**
     * Sees bytes and the end of the connection before the decoder does. Bytes are counted here,
     * since the decoder skips some and keeps those of an incomplete head. A connection that ends
     * without an end of the stream, by a reset, a failed write or a local close, ends the request
     * here, since the decoder would report a body without length as complete.
     */
    private final class ConnectionGuard extends ChannelInboundHandlerAdapter {
        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            fail("the connection broke before the answer was complete");
            ctx.fireChannelInactive();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            int n = ((ByteBuf) message).readableBytes();
            if (mCall == null || mFailed) {
                ReferenceCountUtil.release(message);
                ctx.close();
                return;
            }
            if (mHead == null || mSkipResponse) {
                mBytesBeforeBody += n;
            }
            if (mBytesBeforeBody > MAX_BYTES_BEFORE_BODY) {
                ReferenceCountUtil.release(message);
                fail("more than " + MAX_BYTES_BEFORE_BODY + " bytes came before the answer");
                return;
            }
            ctx.fireChannelRead(message);
        }
    }
}
