package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;

/**
 * Unused share of one partner that is used by another partner.
 *
 * @param lender partner that uses less than its share
 * @param borrower partner that uses more than its share
 * @param workClass class of the work that the borrower runs
 * @param slots number of slots lent: at least 1 while the loan is active, 0 when it has ended
 */
public record Loan(String lender, String borrower, WorkClass workClass, int slots) {}
