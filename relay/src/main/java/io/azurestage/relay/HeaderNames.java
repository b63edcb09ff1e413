package io.azurestage.relay;

/**
 * Names of the header fields that callers and backend servers on a platform use.
 *
 * @param requestId id of a caller's attempt; servers return it in their answers
 * @param remainingMillis remaining time for which the caller waits, in milliseconds
 * @param serverId id of the only server that may run the request
 * @param notRun present in the answer of a server that did not run the request
 * @param signature signature that a server adds to each of its answers
 * @param callerService service of the VM where the request entered
 * @param credential credential of a caller: {@link #credentialScheme}, a space and an access key
 * @param credentialScheme scheme of the credential
 * @param partner name of the partner that the access key belongs to
 * @param limit requests per second that a server accepts from all nodes together while its answers
 *     state it
 * @param leaving with the value 1, states that the server leaves
 */
public record HeaderNames(
        String requestId,
        String remainingMillis,
        String serverId,
        String notRun,
        String signature,
        String callerService,
        String credential,
        String credentialScheme,
        String partner,
        String limit,
        String leaving) {}
