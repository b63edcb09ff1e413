package io.azurestage.core.membership;

/** Transport of a control message. */
public enum Transport {
    /** A datagram, which may be lost. A message too large for a datagram is sent over TCP. */
    UDP,
    /** A frame on a TCP connection. */
    TCP
}
