package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;

/** Receives changes of loans, on the thread that calls the controller. */
@FunctionalInterface
public interface LoanListener {

    /**
     * Called when a loan starts, changes or ends.
     *
     * @param lender partner that uses less than its share
     * @param borrower partner that uses more than its share
     * @param workClass class of the work that the borrower runs
     * @param slots number of slots lent from now on, 0 if the loan has ended
     */
    void changed(String lender, String borrower, WorkClass workClass, int slots);
}
