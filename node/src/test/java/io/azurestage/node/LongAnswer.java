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

/** Serves a long file with range support and interrupts the first transfers. */
final class LongAnswer implements FakeBackend.Behaviour {
    private final byte[] mBytes;
    private final int mCutBytes;
    private final AtomicInteger mBreaksLeft;
    private final AtomicInteger mRanges = new AtomicInteger();
    private final CountDownLatch mPartReceived = new CountDownLatch(1);
    private volatile String mEtag = "\"one\"";
    private volatile String mRangeEtag = "\"one\"";
    private volatile int mShiftBytes;
    private volatile int mOmittedBytes;

    /**
     * Creates a file of random bytes; {@code breaks} transfers fail after {@code cut} bytes each.
     */
    LongAnswer(int length, int cut, int breaks) {
        mBytes = new byte[length];
        new Random(7).nextBytes(mBytes);
        mCutBytes = cut;
        mBreaksLeft = new AtomicInteger(breaks);
    }

    byte[] bytes() {
        return mBytes;
    }

    /** Signals that the caller has received a part; transfers are interrupted only after that. */
    void seen() {
        mPartReceived.countDown();
    }

    private void breakOff(Callback callback) {
        try {
            mPartReceived.await(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        callback.failed(new IOException("the server breaks off"));
    }

    /** Returns the number of range requests received. */
    int ranges() {
        return mRanges.get();
    }

    LongAnswer etag(String whole, String part) {
        mEtag = whole;
        mRangeEtag = part;
        return this;
    }

    /** Makes ranges begin the given number of bytes too late. */
    LongAnswer shift(int bytes) {
        mShiftBytes = bytes;
        return this;
    }

    /** Omits the given number of bytes at the end of a range, contrary to its Content-Range. */
    LongAnswer shortBy(int bytes) {
        mOmittedBytes = bytes;
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
            from += mShiftBytes;
            s.setStatus(206);
            s.getHeaders()
                    .put(
                            HttpHeader.CONTENT_RANGE,
                            "bytes " + from + "-" + (mBytes.length - 1) + "/" + mBytes.length);
        }
        s.getHeaders().put(HttpHeader.ETAG, range == null ? mEtag : mRangeEtag);
        int end = mBytes.length - (range == null ? 0 : mOmittedBytes);
        s.getHeaders().put(HttpHeader.CONTENT_LENGTH, end - from);
        if (mBreaksLeft.getAndDecrement() > 0) {
            ByteBuffer part = ByteBuffer.wrap(mBytes, from, Math.min(mCutBytes, end - from));
            s.write(false, part, Callback.from(() -> breakOff(callback), t -> breakOff(callback)));
        } else {
            s.write(true, ByteBuffer.wrap(mBytes, from, end - from), callback);
        }
    }
}
