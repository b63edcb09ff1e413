package io.azurestage.bench.standin;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class WorkLedgerRunTest {
    /** Guards against a request that ran and passes as not run, and against the opposite. */
    @Test
    void requestHasRunOnceAnyServiceHasStartedIt() {
        WorkLedger ledger = new WorkLedger();
        RequestKey key = new RequestKey("r", 1, "p", "NORMAL");
        ledger.arrived("a", key);
        assertThat(ledger.hasRun("r.1")).isFalse();
        ledger.started("b", key);
        assertThat(ledger.hasRun("r.1")).isTrue();
        assertThat(ledger.hasRun("r.0")).isFalse();
    }
}
