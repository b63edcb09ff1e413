package io.azurestage.mesh;

import io.azurestage.wire.generated.Envelope;

/** Handles verified messages on the event loop. */
@FunctionalInterface
interface Receiver {
    void receive(Envelope e, int bytes);
}
