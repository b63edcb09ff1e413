package io.azurestage.bench.standin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.eclipse.jetty.http.ByteRange;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingCallback;

/** A large file with deterministic contents, served with a strong ETag and byte ranges. */
final class PatternFile {
    static final String PATH = "/patterns/";
    private static final int CHUNK_BYTES = 64 << 10;

    private final long mLength;
    private final long mSeed;

    PatternFile(long length, long seed) {
        mLength = length;
        mSeed = seed;
    }

    /** Computes the byte at an offset, so that a client can verify any range of the file. */
    static byte byteAt(long seed, long offset) {
        long mixed = (offset + seed) * 0x9E3779B97F4A7C15L;
        return (byte) (mixed >>> 56);
    }

    String etag() {
        return "\"" + Long.toHexString(mSeed) + "-" + Long.toHexString(mLength) + "\"";
    }

    void respond(Request request, Response response, Callback callback, boolean truncate) {
        response.getHeaders().put(HttpHeader.ETAG, etag());
        response.getHeaders().put(HttpHeader.ACCEPT_RANGES, "bytes");
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/octet-stream");
        String ifRange = request.getHeaders().get(HttpHeader.IF_RANGE);
        List<String> ranges = request.getHeaders().getValuesList(HttpHeader.RANGE);
        long first = 0;
        long last = mLength - 1;
        if (!ranges.isEmpty() && (ifRange == null || ifRange.equals(etag()))) {
            List<ByteRange> parsed = ByteRange.parse(ranges, mLength);
            if (parsed.isEmpty()) {
                response.setStatus(416);
                response.getHeaders().put(HttpHeader.CONTENT_RANGE, "bytes */" + mLength);
                response.write(true, ByteBuffer.allocate(0), callback);
                return;
            }
            first = parsed.get(0).first();
            last = parsed.get(0).last();
            response.setStatus(206);
            response.getHeaders()
                    .put(HttpHeader.CONTENT_RANGE, parsed.get(0).toHeaderValue(mLength));
        }
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, last - first + 1);
        long end = truncate ? (first + last) / 2 : last + 1;
        new Writer(response, callback, first, end, truncate).iterate();
    }

    private final class Writer extends IteratingCallback {
        private final Response mResponse;
        private final Callback mCallback;
        private final long mEnd;
        private final boolean mTruncate;
        private long mOffset;

        Writer(Response response, Callback callback, long first, long end, boolean truncate) {
            mResponse = response;
            mCallback = callback;
            mOffset = first;
            mEnd = end;
            mTruncate = truncate;
        }

        @Override
        protected Action process() {
            if (mOffset >= mEnd) {
                return Action.SUCCEEDED;
            }
            int size = (int) Math.min(CHUNK_BYTES, mEnd - mOffset);
            ByteBuffer chunk = ByteBuffer.allocate(size);
            for (int i = 0; i < size; i++) {
                chunk.put(byteAt(mSeed, mOffset + i));
            }
            chunk.flip();
            mOffset += size;
            mResponse.write(!mTruncate && mOffset == mEnd, chunk, this);
            return Action.SCHEDULED;
        }

        @Override
        protected void onCompleteSuccess() {
            if (mTruncate) {
                mCallback.failed(new IOException("response truncated by an injected fault"));
            } else {
                mCallback.succeeded();
            }
        }

        @Override
        protected void onCompleteFailure(Throwable cause) {
            mCallback.failed(cause);
        }
    }
}
