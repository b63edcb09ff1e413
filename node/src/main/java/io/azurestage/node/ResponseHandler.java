package io.azurestage.node;

import org.eclipse.jetty.client.Response;

/** Hears how the response to one HTTP request of a node arrives. */
interface ResponseHandler {

    /** The whole response is there. */
    void whole(Response r, byte[] body);

    /** The response is longer than what is held; its parts go to the returned sink. */
    StreamSink stream(Response r);

    /** A response that was being streamed has ended whole. */
    void streamEnded(Response r);

    /**
     * No whole response came.
     *
     * @param sent false if it is certain that no byte of the request was sent
     * @param streamed bytes that were passed on before it broke off, -1 if streaming had not begun
     */
    void failed(Throwable cause, boolean sent, long streamed);
}
