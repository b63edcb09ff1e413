package io.azurestage.relay;

/**
 * Names of the header fields that callers and backend servers of a platform use.
 *
 * @param requestId id of a caller's attempt; servers repeat it in their answers
 * @param remainingMillis how long the caller still waits, in milliseconds
 * @param serverId the only server that may run the request
 * @param notRun set by a server that did not run the request
 * @param signature a server's mark on each answer that it made
 * @param callerService service of the VM where the request began
 */
public record HeaderNames(
        String requestId,
        String remainingMillis,
        String serverId,
        String notRun,
        String signature,
        String callerService) {}
