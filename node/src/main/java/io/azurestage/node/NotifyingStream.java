package io.azurestage.node;

import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Delegates to another stream and runs a hook when the answer is completed or aborted. */
final class NotifyingStream implements StreamSink {
    private final StreamSink mNext;
    private final Runnable mOnEnd;

    NotifyingStream(StreamSink next, Runnable onEnd) {
        mNext = next;
        mOnEnd = onEnd;
    }

    @Override
    public void write(ByteBuffer part, Runnable written, Consumer<Throwable> failed) {
        mNext.write(part, written, failed);
    }

    @Override
    public void end() {
        mOnEnd.run();
        mNext.end();
    }

    @Override
    public void abort(Throwable cause) {
        mOnEnd.run();
        mNext.abort(cause);
    }
}
