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
public record ChainKey(String service, String operation, String partner, WorkClass workClass) {

    /** Written out, because generated methods of records are slow where only C1 compiles. */
    @Override
    public boolean equals(Object o) {
        return o instanceof ChainKey k
                && workClass == k.workClass
                && operation.equals(k.operation)
                && service.equals(k.service)
                && partner.equals(k.partner);
    }

    @Override
    public int hashCode() {
        int hash = 31 * service.hashCode() + operation.hashCode();
        return 31 * (31 * hash + partner.hashCode()) + workClass.ordinal();
    }
}
