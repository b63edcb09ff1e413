package io.azurestage.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The store is restored from an older copy while nodes are running. */
class StoreResetTest extends RelayScenario {
    private static final String NODES = "azurestage/nodes/";

    private void startServing() throws Exception {
        startNodes((r, s) -> s.getOutputStream().write(RawServer.ok(r, "")));
    }

    // Guards against a node that keeps the configuration from before the return: its watch went on
    // from a revision that the store gave out again.
    @Test
    void configurationWrittenAfterTheReturnIsAdopted() throws Exception {
        startServing();
        mStore.takeCopy();
        mStore.put("op/config", new byte[] {2});
        Loop.await("version 2", () -> mRelays.get(0).configVersion() == 2);
        mStore.restoreCopy();
        mStore.put("op/config", new byte[] {2});
        mStore.put("op/config", new byte[] {3});
        Loop.await(
                "version 3 at all nodes",
                () -> mRelays.stream().allMatch(r -> r.configVersion() == 3));
        assertThat(mEvents).anyMatch(e -> e.contains("STORE_RESET") && e.contains("era=2"));
    }

    // Guards against an entry that stays away because its node renews a lease of the earlier data.
    @Test
    void entryThatTheCopyLacksIsWrittenAgain() throws Exception {
        mStore.takeCopy();
        startServing();
        mStore.restoreCopy();
        assertThat(mStore.keys(NODES)).isEmpty();
        Loop.await("the entry is there again", () -> !mStore.keys(NODES).isEmpty());
        assertThat(mStore.lease(mStore.keys(NODES).get(0))).isNotZero();
    }
}
