package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;

/**
 * Key under which an entry node remembers the levels of a chain.
 *
 * @param service service at the start of the chain
 * @param operation method and path prefix of the operation
 * @param partner partner that is charged
 * @param workClass class of work
 */
public record ChainKey(String service, String operation, String partner, WorkClass workClass) {}
