package io.azurestage.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** A long file with ranges whose first transfers break off. */
final class LongAnswer implements FakeBackend.Behaviour {
    private final byte[] mBytes;
    private final int mCut;
    private final AtomicInteger mBreaks;
    private final AtomicInteger mRanges = new AtomicInteger();
    private final CountDownLatch mSeen = new CountDownLatch(1);
    private volatile String mEtag = "\"one\"";
    private volatile String mRangeEtag = "\"one\"";
    private volatile int mShift;
    private volatile int mShort;

    /** Breaks off the given number of transfers, each after {@code cut} bytes. */
    LongAnswer(int length, int cut, int breaks) {
        mBytes = new byte[length];
        new Random(7).nextBytes(mBytes);
        mCut = cut;
        mBreaks = new AtomicInteger(breaks);
    }

    byte[] bytes() {
        return mBytes;
    }

    /** Tells that the caller has received a part; transfers break off only after that. */
    void seen() {
        mSeen.countDown();
    }

    private void breakOff(Callback callback) {
        try {
            mSeen.await(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        callback.failed(new IOException("the server breaks off"));
    }

    /** Requests for a part of the file. */
    int ranges() {
        return mRanges.get();
    }

    LongAnswer etag(String whole, String part) {
        mEtag = whole;
        mRangeEtag = part;
        return this;
    }

    /** Serves ranges that begin so many bytes too late. */
    LongAnswer shift(int bytes) {
        mShift = bytes;
        return this;
    }

    /** Leaves out so many bytes at the end of a range, against its Content-Range. */
    LongAnswer shortBy(int bytes) {
        mShort = bytes;
        return this;
    }

    @Override
    public void handle(Request q, Response s, Callback callback) {
        String range = q.getHeaders().get(HttpHeader.RANGE);
        s.getHeaders().put(HttpHeader.ACCEPT_RANGES, "bytes");
        int from = 0;
        if (range != null) {
            mRanges.incrementAndGet();
        }
        if (range != null && mRangeEtag.equals(q.getHeaders().get(HttpHeader.IF_RANGE))) {
            from = Integer.parseInt(range.substring("bytes=".length(), range.length() - 1));
            from += mShift;
            s.setStatus(206);
            s.getHeaders()
                    .put(
                            HttpHeader.CONTENT_RANGE,
                            "bytes " + from + "-" + (mBytes.length - 1) + "/" + mBytes.length);
        }
        s.getHeaders().put(HttpHeader.ETAG, range == null ? mEtag : mRangeEtag);
        int end = mBytes.length - (range == null ? 0 : mShort);
        s.getHeaders().put(HttpHeader.CONTENT_LENGTH, end - from);
        if (mBreaks.getAndDecrement() > 0) {
            ByteBuffer part = ByteBuffer.wrap(mBytes, from, Math.min(mCut, end - from));
            s.write(false, part, Callback.from(() -> breakOff(callback), t -> breakOff(callback)));
        } else {
            s.write(true, ByteBuffer.wrap(mBytes, from, end - from), callback);
        }
    }
}
