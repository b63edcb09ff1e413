package io.azurestage.relay;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A node's connection to the store falls silent, and the configuration changes. */
class SilentWatchTest extends RelayScenario {
    private static final String CONFIG = "op/";

    private void startServing() throws Exception {
        startNodes((r, s) -> s.getOutputStream().write(RawServer.ok(r, "")));
        Loop.await("version 1", () -> mRelays.stream().allMatch(r -> r.configVersion() == 1));
    }

    // Guards against a node that keeps a configuration for as long as its watch is silent, although
    // other nodes have read a newer one. No request has opened a link between the nodes.
    @Test
    void configurationComesFromANodeWhoseWatchWorks() throws Exception {
        startServing();
        mStore.silenceFirstWatch(CONFIG);
        mStore.put("op/config", new byte[] {2});
        Loop.await("version 2", () -> mRelays.stream().allMatch(r -> r.configVersion() == 2));
    }

    // Guards against a watch that stays silent after another node has shown that it is.
    @Test
    void watchIsOpenedAgainOnceItIsKnownToBeSilent() throws Exception {
        startServing();
        mStore.silenceFirstWatch(CONFIG);
        mStore.put("op/config", new byte[] {2});
        Loop.await(
                "the watch is distrusted",
                () -> mEvents.stream().anyMatch(e -> e.contains("no report of version 2")));
        Loop.await(
                "the store is read again",
                () -> mEvents.stream().anyMatch(e -> e.contains("STORE_UP")));
        mLoop.loop().submit(() -> {}).get(1, TimeUnit.SECONDS);
        mStore.silenceFirstWatch(CONFIG);
        mStore.put("op/config", new byte[] {3});
        Loop.await("version 3", () -> mRelays.stream().allMatch(r -> r.configVersion() == 3));
    }
}
