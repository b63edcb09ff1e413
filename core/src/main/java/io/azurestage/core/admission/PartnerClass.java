package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;

/**
 * Key of an admission level.
 *
 * @param partner partner
 * @param workClass class of work
 */
public record PartnerClass(String partner, WorkClass workClass) {}
