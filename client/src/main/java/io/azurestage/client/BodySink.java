package io.azurestage.client;

import java.io.IOException;
import java.nio.ByteBuffer;

/** Receives a response body that is longer than the buffer limit of the client. */
@FunctionalInterface
public interface BodySink {

    /**
     * Consumes the next bytes of the body. May block, which pauses the transfer.
     *
     * @param bytes the next bytes, valid only during this call
     * @throws IOException if the bytes cannot be stored; the call then fails
     */
    void write(ByteBuffer bytes) throws IOException;
}
