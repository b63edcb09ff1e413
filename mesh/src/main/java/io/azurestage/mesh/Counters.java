package io.azurestage.mesh;

import java.util.concurrent.atomic.LongAdder;

final class Counters {
    final LongAdder mMessagesSent = new LongAdder();
    final LongAdder mBytesSent = new LongAdder();
    final LongAdder mMessagesReceived = new LongAdder();
    final LongAdder mBytesReceived = new LongAdder();
    final LongAdder mForged = new LongAdder();
    final LongAdder mMalformed = new LongAdder();
    final LongAdder mOversized = new LongAdder();
    final LongAdder mOverflowed = new LongAdder();
    final LongAdder mUnreachable = new LongAdder();
    final LongAdder mFailed = new LongAdder();

    void recordSent(int bytes) {
        mMessagesSent.increment();
        mBytesSent.add(bytes);
    }

    MeshStats snapshot() {
        return new MeshStats(
                mMessagesSent.sum(),
                mBytesSent.sum(),
                mMessagesReceived.sum(),
                mBytesReceived.sum(),
                mForged.sum(),
                mMalformed.sum(),
                mOversized.sum(),
                mOverflowed.sum(),
                mUnreachable.sum(),
                mFailed.sum());
    }
}
