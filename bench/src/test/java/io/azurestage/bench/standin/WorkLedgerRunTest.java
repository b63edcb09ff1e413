package io.azurestage.bench.standin;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class WorkLedgerRunTest {
    /** Guards against reporting an executed request as not executed, and the reverse. */
    @Test
    void requestHasRunOnceAnyServiceHasStartedIt() {
        WorkLedger ledger = new WorkLedger();
        RequestKey key = new RequestKey("r", 1, "p", "NORMAL");
        ledger.recordArrival("a", key);
        assertThat(ledger.hasRun("r.1")).isFalse();
        ledger.recordStart("b", key);
        assertThat(ledger.hasRun("r.1")).isTrue();
        assertThat(ledger.hasRun("r.0")).isFalse();
    }
}
