package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;

/**
 * Key of an admission level.
 *
 * @param partner name of the partner
 * @param workClass class of work
 */
public record PartnerClass(String partner, WorkClass workClass) {

    /** Explicit, because the generated methods of records are slow when only C1 is enabled. */
    @Override
    public boolean equals(Object o) {
        return o instanceof PartnerClass k && workClass == k.workClass && partner.equals(k.partner);
    }

    @Override
    public int hashCode() {
        return 31 * partner.hashCode() + workClass.ordinal();
    }
}
