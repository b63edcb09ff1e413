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
    /** Guards against a slope that hides growth with the size of the mesh. */
    @Property(seed = "62", tries = 40)
    void slopeOfALineIsItsSteepness(
            @ForAll @IntRange(min = -50, max = 50) int steepness,
            @ForAll @IntRange(min = -50, max = 50) int offset) {
        List<Map<String, Object>> sizes =
                List.of(12, 36, 72).stream()
                        .map(n -> Map.<String, Object>of("nodes", n, "f", offset + steepness * n))
                        .toList();
        assertThat(Spread.slopes(sizes).get("f")).isCloseTo(steepness, within(1e-4));
    }

    /** Guards against a division by zero for a single size. */
    @Test
    void slopeOfOneSizeIsZero() {
        assertThat(Slope.of(List.of(new Slope.Point(12, 7)))).isZero();
    }

    /** Guards against a figure over its aim, or a spread that never ended, without a report. */
    @Test
    void namesFiguresThatMissTheirAim() {
        Map<String, Double> aims = Map.of("a", 10.0, "b", 10.0);
        assertThat(
                        Spread.missed(
                                List.of(
                                        Map.of("nodes", 12, "a", 10, "b", 10.1),
                                        Map.of("nodes", 36, "a", -1, "b", 3)),
                                aims))
                .containsExactly("a -1.0 at 36 nodes", "b 10.1 at 12 nodes");
    }

    /** Guards against one incomplete spread that vanishes behind the complete ones. */
    @Test
    void worstSpreadIsMissingWhenOneIs() {
        assertThat(Spread.worst(List.of(5L, 9L, 7L))).isEqualTo(9);
        assertThat(Spread.worst(List.of(5L, -1L, 7L))).isEqualTo(-1);
    }

    /** Guards against a run with more processes than the machine is allowed to hold. */
    @Test
    void refusesSizesOverTheLimit() {
        assertThatThrownBy(() -> new Spread("12,101")).isInstanceOf(IllegalArgumentException.class);
    }

    /** Guards against a hand-over to a whole data centre, or to none of it. */
    @Test
    void handsOverToAFewNodesOfEachDataCentre() {
        Map<NodeEndpoints, String> nodes = new LinkedHashMap<>();
        for (int i = 0; i < 10; i++) {
            nodes.put(new NodeEndpoints("n" + i, null, null, null, null), "dc" + i % 2);
        }
        assertThat(PushTrial.someOfEach(nodes))
                .extracting(NodeEndpoints::nodeId)
                .containsExactly("n0", "n1", "n2", "n3", "n4", "n5");
    }
}
