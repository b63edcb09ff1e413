package io.azurestage.node;

import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Receives the body of a streamed answer, one part at a time. */
interface StreamSink {

    /**
     * Writes a part, then calls exactly one of the callbacks. The next part may be written only
     * after {@code written} was called.
     */
    void write(ByteBuffer part, Runnable written, Consumer<Throwable> failed);

    /** Completes the answer. */
    void end();

    /** Aborts the answer in such a way that the caller can detect the truncation. */
    void abort(Throwable cause);
}
