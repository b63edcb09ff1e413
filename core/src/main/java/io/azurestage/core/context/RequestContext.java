package io.azurestage.core.context;

import io.azurestage.config.WorkClass;
import io.azurestage.core.time.HlcTime;
import java.time.Instant;

/**
 * Context that is propagated with a request from hop to hop.
 *
 * @param requestId id of the request, the same in its whole call chain
 * @param partner partner whose share the request uses
 * @param workClass work class of the request
 * @param deadline time at which the caller stops waiting, in whole microseconds
 * @param allowance number of retries that this branch of the call tree may use
 * @param attemptId id of this attempt of this hop
 * @param depth number of hops below the entry node, 0 at the entry node
 * @param entryFraction admitted fraction in force at the entry node when the request arrived, in
 *     (0,1]
 * @param repeatable whether an ancestor in the call chain may be run again
 * @param retry whether this attempt is a retry
 * @param audience the only node incarnation that may accept this context
 * @param time reading of the sender's hybrid logical clock
 */
public record RequestContext(
        RequestId requestId,
        String partner,
        WorkClass workClass,
        Instant deadline,
        int allowance,
        long attemptId,
        int depth,
        double entryFraction,
        boolean repeatable,
        boolean retry,
        NodeIdentity audience,
        HlcTime time) {}
