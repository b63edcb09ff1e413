package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;

/** Hears of lent shares, on the thread that calls the controller. */
@FunctionalInterface
public interface LoanListener {

    /**
     * A loan started, changed or ended.
     *
     * @param lender partner that uses less than its share
     * @param borrower partner that uses more than its share
     * @param workClass class of work that the borrower runs
     * @param slots slots lent from now on, 0 when the loan ended
     */
    void changed(String lender, String borrower, WorkClass workClass, int slots);
}
