package io.azurestage.node;

import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Fails every write of an answer that has no receiver. */
final class RejectingStream implements StreamSink {
    @Override
    public void write(ByteBuffer part, Runnable written, Consumer<Throwable> failed) {
        failed.accept(new IllegalStateException("the answer was dropped"));
    }

    @Override
    public void end() {}

    @Override
    public void abort(Throwable cause) {}
}
