package io.azurestage.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ConfigWatchTest {
    private final ConfigWatch mWatch = new ConfigWatch();

    /** Guards against a spread time that ends before the slowest node has reported the version. */
    @Property(seed = "61", tries = 50)
    void spreadLastsUntilSlowestNode(
            @ForAll @Size(min = 1, max = 8) List<@IntRange(max = 9_000) Integer> delays) {
        ConfigWatch watch = new ConfigWatch();
        for (int i = 0; i < delays.size(); i++) {
            watch.observe("n" + i, 1, 500);
            watch.observe("n" + i, 2, 1_000 + delays.get(i));
            watch.observe("n" + i, 2, 20_000);
        }
        List<String> nodes = List.of("n0", "n" + (delays.size() - 1));
        long slowest = Math.max(delays.get(0), delays.get(delays.size() - 1));
        assertThat(watch.spreadMs(2, 1_000, nodes)).isEqualTo(slowest);
    }

    /** Guards against ignoring a node that has not reported the version. */
    @Test
    void spreadIsIncompleteWhileOneNodeIsBehind() {
        mWatch.observe("a", 2, 10);
        mWatch.observe("b", 1, 10);
        assertThat(mWatch.spreadMs(2, 0, List.of("a", "b"))).isEqualTo(-1);
    }

    /** Guards against an endless spread if a node skips the version and adopts a later one. */
    @Test
    void laterVersionCountsAsAdopted() {
        mWatch.observe("a", 3, 40);
        assertThat(mWatch.spreadMs(2, 10, List.of("a"))).isEqualTo(30);
    }

    /** Guards against missing a revert, and against counting a different node as a revert. */
    @Test
    void countsRevertsPerIncarnation() {
        mWatch.observe("a", 2, 0);
        mWatch.observe("b", 1, 1);
        mWatch.observe("a", 3, 2);
        assertThat(mWatch.reverts()).isZero();
        mWatch.observe("a", 2, 3);
        assertThat(mWatch.reverts()).isEqualTo(1);
    }
}
