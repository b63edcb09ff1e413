package io.azurestage.core.membership;

/** How a control message travels. */
public enum Transport {
    /** One datagram; may be lost. A message that does not fit into a datagram goes over TCP. */
    UDP,
    /** A frame on a TCP connection. */
    TCP
}
