package io.azurestage.node;

import org.eclipse.jetty.client.Response;

/** Receives the events of the response to one HTTP request that a node sent. */
interface ResponseHandler {

    /** Called when a response has been received completely into the buffer. */
    void received(Response r, byte[] body);

    /** Called when a response exceeds the buffer; its parts are written to the returned sink. */
    StreamSink stream(Response r);

    /** Called when a streamed response has been received completely. */
    void streamEnded(Response r);

    /**
     * Called when no complete response was received.
     *
     * @param cause cause of the failure
     * @param sent false if it is certain that no byte of the request was sent
     * @param streamed bytes passed on before the failure, -1 if streaming had not begun
     */
    void failed(Throwable cause, boolean sent, long streamed);
}
