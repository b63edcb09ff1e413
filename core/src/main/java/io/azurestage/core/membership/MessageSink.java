package io.azurestage.core.membership;

import io.azurestage.wire.generated.Envelope;

/** Takes the messages that a state machine wants to send. */
@FunctionalInterface
public interface MessageSink {

    /**
     * Sends a message, without any guarantee of delivery. The sink adds the clock reading, the
     * configuration version and the authentication code.
     *
     * @param address control address of the receiver, {@code host:port}
     * @param message the message, owned by the sink from now on
     * @param transport how the message travels
     */
    void send(String address, Envelope.Builder message, Transport transport);
}
