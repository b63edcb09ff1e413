package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;

/**
 * Key under which an entry node stores the admission levels of a call chain.
 *
 * @param service service at the start of the chain
 * @param operation method and path prefix of the operation
 * @param partner partner whose share the work is charged to
 * @param workClass class of work
 */
public record ChainKey(String service, String operation, String partner, WorkClass workClass) {

    /** Explicit, because the generated methods of records are slow when only C1 is enabled. */
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
