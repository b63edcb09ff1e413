package io.azurestage.node;

import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Passes the parts of a long answer on and tells when it has ended, whole or broken off. */
final class NotifyingStream implements StreamSink {
    private final StreamSink mNext;
    private final Runnable mEnded;

    NotifyingStream(StreamSink next, Runnable ended) {
        mNext = next;
        mEnded = ended;
    }

    @Override
    public void write(ByteBuffer part, Runnable written, Consumer<Throwable> failed) {
        mNext.write(part, written, failed);
    }

    @Override
    public void end() {
        mEnded.run();
        mNext.end();
    }

    @Override
    public void abort(Throwable cause) {
        mEnded.run();
        mNext.abort(cause);
    }
}
