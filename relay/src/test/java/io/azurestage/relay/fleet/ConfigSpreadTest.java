package io.azurestage.relay.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.relay.Loop;
import io.azurestage.relay.MapStore;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigSpreadTest {
    private static final String PREFIX = "op/";

    private final Loop mLoop = new Loop();

    @AfterEach
    void close() {
        mLoop.close();
    }

    private static Set<String> nodes(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> "10.0." + i / 250 + "." + i % 250 + ":7000")
                .collect(Collectors.toSet());
    }

    /** Returns the nodes that check their watches often if all of them know the given ones. */
    private Set<String> designated(Set<String> all, Set<String> known) {
        Set<String> designated = new HashSet<>();
        for (String node : all) {
            MapStore store = new MapStore();
            ConfigSpread spread =
                    new ConfigSpread(mLoop.loop(), store, PREFIX, node, a -> null, new Random(1));
            spread.setNodes(known);
            if (store.checkInterval(PREFIX).equals(ConfigSpread.CHECK_INTERVAL)) {
                designated.add(node);
            }
        }
        return designated;
    }

    // Guards against calls to the store that grow with the fleet.
    @ParameterizedTest
    @ValueSource(ints = {4, 13, 67, 300, 1_400})
    void fewNodesCheckTheirWatchesOften(int count) {
        Set<String> all = nodes(count);
        assertThat(designated(all, all)).hasSize(ConfigSpread.DESIGNATED_NODES);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void allNodesCheckTheirWatchesOftenWhileFewAreKnown(int known) {
        Set<String> all = nodes(5);
        Set<String> few = all.stream().limit(known).collect(Collectors.toSet());
        assertThat(designated(all, few)).isEqualTo(all);
    }

    // Guards against a fleet without a designated node after one of them is lost.
    @ParameterizedTest
    @ValueSource(ints = {4, 13, 67})
    void lostNodeIsReplaced(int count) {
        Set<String> all = nodes(count);
        List<String> before = List.copyOf(designated(all, all));
        Set<String> left = new HashSet<>(all);
        left.remove(before.get(0));
        assertThat(designated(left, left))
                .hasSize(ConfigSpread.DESIGNATED_NODES)
                .contains(before.get(1), before.get(2));
    }
}
