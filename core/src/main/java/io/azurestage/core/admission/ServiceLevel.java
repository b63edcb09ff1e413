package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;

/**
 * The admitted fraction of one service for one class of work of the partner that an answer belongs
 * to.
 *
 * @param service name of the service
 * @param workClass class of work
 * @param fraction admitted fraction in (0,1], 1 when everything is admitted again
 */
public record ServiceLevel(String service, WorkClass workClass, double fraction) {}
