package io.azurestage.core.context;

import io.azurestage.config.WorkClass;
import io.azurestage.core.time.HlcTime;
import java.time.Instant;

/**
 * What travels with a request from hop to hop.
 *
 * @param requestId identifies the whole request
 * @param partner partner that is charged
 * @param workClass class of work
 * @param deadline when the caller stops waiting, microsecond precision
 * @param allowance retries that this branch may use
 * @param attemptId identifies this attempt of this hop
 * @param depth hops below the entry, 0 at the entry
 * @param entryFraction admitted fraction in force where the request entered, in (0,1]
 * @param repeatable whether an ancestor may be run again
 * @param retry whether this attempt is a retry
 * @param audience the only node incarnation that may accept this context
 * @param time hybrid logical time of the sender
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
