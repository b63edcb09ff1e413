package io.azurestage.bench;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class SpreadTest {
    /** Guards against a wrong slope, which would hide growth with the mesh size. */
    @Property(seed = "62", tries = 40)
    void slopeOfALineIsItsGradient(
            @ForAll @IntRange(min = -50, max = 50) int gradient,
            @ForAll @IntRange(min = -50, max = 50) int offset) {
        List<Map<String, Object>> sizes =
                List.of(12, 36, 72).stream()
                        .map(n -> Map.<String, Object>of("nodes", n, "f", offset + gradient * n))
                        .toList();
        assertThat(Spread.slopes(sizes).get("f")).isCloseTo(gradient, within(1e-4));
    }

    /** Guards against a division by zero for a single size. */
    @Test
    void slopeOfOneSizeIsZero() {
        assertThat(Slope.of(List.of(new Slope.Point(12, 7)))).isZero();
    }

    /** Guards against not reporting a figure over its target or an incomplete spread. */
    @Test
    void reportsFiguresOverTheirTarget() {
        Map<String, Double> targets = Map.of("a", 10.0, "b", 10.0);
        assertThat(
                        Spread.missed(
                                List.of(
                                        Map.of("nodes", 12, "a", 10, "b", 10.1),
                                        Map.of("nodes", 36, "a", -1, "b", 3)),
                                targets))
                .containsExactly("a -1.0 at 36 nodes", "b 10.1 at 12 nodes");
    }

    /** Guards against complete spreads hiding an incomplete one. */
    @Test
    void worstSpreadIsIncompleteIfOneIs() {
        assertThat(Spread.worst(List.of(5L, 9L, 7L))).isEqualTo(9);
        assertThat(Spread.worst(List.of(5L, -1L, 7L))).isEqualTo(-1);
    }

    /** Guards against a run with more node processes than the limit for one machine. */
    @Test
    void rejectsSizesOverTheLimit() {
        assertThatThrownBy(() -> new Spread("12,101")).isInstanceOf(IllegalArgumentException.class);
    }

    /** Guards against sending a record to all nodes of a data centre, or to none. */
    @Test
    void selectsAFewNodesPerDataCentre() {
        Map<NodeEndpoints, String> nodes = new LinkedHashMap<>();
        for (int i = 0; i < 10; i++) {
            nodes.put(new NodeEndpoints("n" + i, null, null, null, null), "dc" + i % 2);
        }
        assertThat(PushTrial.selectPerDataCentre(nodes))
                .extracting(NodeEndpoints::nodeId)
                .containsExactly("n0", "n1", "n2", "n3", "n4", "n5");
    }
}
