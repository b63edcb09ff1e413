package io.azurestage.node;

import io.azurestage.config.WorkClass;
import io.azurestage.core.admission.LoanListener;
import io.azurestage.core.event.EventType;
import java.util.Map;

/** Records loans of slots between partners as an event and a metric. */
final class LoanRecorder implements LoanListener {
    private final NodeContext mShared;

    LoanRecorder(NodeContext shared) {
        mShared = shared;
    }

    @Override
    public void changed(String lender, String borrower, WorkClass workClass, int slots) {
        mShared.metrics().lent().labelValues(lender, borrower, workClass.name()).set(slots);
        mShared.events()
                .record(
                        slots > 0 ? EventType.SHARE_LENT : EventType.SHARE_RETURNED,
                        "",
                        borrower,
                        Map.of(
                                "lender",
                                lender,
                                "borrower",
                                borrower,
                                "workClass",
                                workClass.name(),
                                "slots",
                                String.valueOf(slots)));
    }
}
