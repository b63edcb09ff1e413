package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;

/**
 * Admitted fraction of one service for one class of work. It applies to the partner of the response
 * that carries it.
 *
 * @param service name of the service
 * @param workClass class of work
 * @param fraction admitted fraction in (0,1], 1 when all work is admitted again
 */
public record ServiceLevel(String service, WorkClass workClass, double fraction) {

    /**
     * Returns the level name for the calls that running requests make to a service. They take
     * precedence over requests that start there and therefore have a separate level.
     *
     * @param service name of the service
     * @return the name under which the level of these calls is reported
     */
    public static String callsTo(String service) {
        return service + "/calls";
    }

    /** Explicit, because the generated methods of records are slow when only C1 is enabled. */
    @Override
    public boolean equals(Object o) {
        return o instanceof ServiceLevel l
                && workClass == l.workClass
                && Double.compare(fraction, l.fraction) == 0
                && service.equals(l.service);
    }

    @Override
    public int hashCode() {
        int hash = 31 * service.hashCode() + workClass.ordinal();
        return 31 * hash + Double.hashCode(fraction);
    }
}
