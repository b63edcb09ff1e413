package io.azurestage.mesh;

/**
 * Counters since the start. Bytes are those of datagrams and frames, without IP and TCP headers.
 *
 * @param messagesSent messages handed to the network
 * @param bytesSent bytes of these messages
 * @param messagesReceived authentic messages received
 * @param bytesReceived bytes of all messages received, forged ones included
 * @param forged messages dropped because their authentication code was wrong
 * @param malformed messages dropped because they could not be parsed
 * @param oversized messages dropped because they exceed the limit of their transport
 * @param overflowed messages dropped because a queue or the number of connections had reached its
 *     limit
 * @param unreachable messages dropped because the address was wrong or did not accept a connection
 * @param failed membership tasks that threw an unexpected exception
 */
public record MeshStats(
        long messagesSent,
        long bytesSent,
        long messagesReceived,
        long bytesReceived,
        long forged,
        long malformed,
        long oversized,
        long overflowed,
        long unreachable,
        long failed) {}
