package io.azurestage.node;

import io.azurestage.config.WorkClass;
import io.azurestage.core.admission.LoanListener;
import io.azurestage.core.event.EventType;
import java.util.Map;

/** Records loans of slots between partners as an event and a metric. */
final class LoanRecorder implements LoanListener {
    private final NodeContext mContext;

    LoanRecorder(NodeContext context) {
        mContext = context;
    }

    @Override
    public void changed(String lender, String borrower, WorkClass workClass, int slots) {
        mContext.metrics().lent().labelValues(lender, borrower, workClass.name()).set(slots);
        mContext.events()
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
