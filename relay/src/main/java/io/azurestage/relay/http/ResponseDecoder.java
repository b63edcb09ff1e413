package io.azurestage.relay.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Decodes a server's responses and detects surplus bytes after a response. The heads that Netty
 * accepts although RFC 9112 does not allow them get a failed decoder result.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_HEAD_BYTES = 64 << 10;

    /**
     * Status line of RFC 9112, section 4, with a status that RFC 9110, section 15, allows. The
     * space before an empty reason phrase may be missing, as many servers omit it.
     */
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.\\d [1-5]\\d\\d(?: [\\t\\x20-\\x7e\\x80-\\xff]*+)?\\r");

    private boolean mWithoutBody;
    private boolean mInHead = true;
    private boolean mInFields;

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

    /** Requests do not ask for another protocol, so what follows must be a response. */
    @Override
    protected boolean isSwitchingToNonHttp1Protocol(HttpResponse response) {
        return false;
    }

    /** Netty ends a name at white space and skips what follows up to the colon. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("white space in the name of a field");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** Decodes a part of the input; Netty consumes whole lines of a head and stops at its end. */
    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        int from = in.readerIndex();
        int decoded = out.size();
        super.decode(ctx, in, out);
        boolean valid = !mInHead || areValidLines(in, from, in.readerIndex());
        if (!valid || out.size() > decoded && !isBodyDecoded(out.get(decoded))) {
            reject(out, decoded);
        }
        for (int i = decoded; i < out.size(); i++) {
            mInHead = out.get(i) instanceof LastHttpContent;
            mInFields &= !mInHead;
        }
    }

    private boolean areValidLines(ByteBuf in, int from, int to) {
        for (int line = from; line < to; ) {
            int lineFeed = in.indexOf(line, to, (byte) '\n');
            if (lineFeed < 0 || !isValidLine(in, line, lineFeed)) {
                return false;
            }
            mInFields = true;
            line = lineFeed + 1;
        }
        return true;
    }

    private boolean isValidLine(ByteBuf in, int from, int to) {
        if (mInFields) {
            // Netty would join a continuation with the value before it.
            return in.getByte(from) != ' ' && in.getByte(from) != '\t';
        }
        String line = in.toString(from, to - from, StandardCharsets.ISO_8859_1);
        return STATUS_LINE.matcher(line).matches();
    }

    /** Requests ask for no coding, and a body in one other than chunked would stay encoded. */
    private static boolean isBodyDecoded(Object message) {
        if (!(message instanceof HttpResponse)) {
            return true;
        }
        HttpHeaders headers = ((HttpResponse) message).headers();
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.isEmpty()
                || codings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
    }

    private void reject(List<Object> out, int decoded) {
        if (out.size() == decoded) {
            out.add(createInvalidMessage());
        }
        ((HttpObject) out.get(decoded))
                .setDecoderResult(
                        DecoderResult.failure(
                                new IllegalArgumentException("not a response of HTTP/1.1")));
    }
}
