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
public record ServiceLevel(String service, WorkClass workClass, double fraction) {

    /**
     * Names the calls that running requests make to a service, which go before requests that start
     * there and so have a level of their own.
     *
     * @param service the service
     * @return the name under which the level of its calls is told
     */
    public static String callsTo(String service) {
        return service + "/calls";
    }

    /** Written out, because generated methods of records are slow where only C1 compiles. */
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
