package io.azurestage.core.membership;

import io.azurestage.wire.generated.Envelope;

/** Sends the messages of a protocol state machine. */
@FunctionalInterface
public interface MessageSink {

    /**
     * Sends a message, without any guarantee of delivery. The sink adds the clock reading, the
     * configuration version and the authentication code.
     *
     * @param address control address of the receiver, {@code host:port}
     * @param message the message; the sink takes ownership
     * @param transport transport to use
     */
    void send(String address, Envelope.Builder message, Transport transport);
}
