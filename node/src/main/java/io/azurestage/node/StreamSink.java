package io.azurestage.node;

import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Takes the parts of a long answer, one at a time. */
interface StreamSink {

    /** Writes a part; then either asks for more or fails. */
    void write(ByteBuffer part, Runnable written, Consumer<Throwable> failed);

    /** Ends the answer as whole. */
    void end();

    /** Breaks the answer off, so that the caller cannot take it for whole. */
    void abort(Throwable cause);
}
