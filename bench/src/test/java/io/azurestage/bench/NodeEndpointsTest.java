package io.azurestage.bench;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.node.HostPort;
import org.junit.jupiter.api.Test;

class NodeEndpointsTest {
    /** Guards against misreading the start line, which would make callers use a wrong port. */
    @Test
    void parsesStartLine() {
        NodeEndpoints node =
                NodeEndpoints.parse(
                        "azurestage-node a-1 ingress=127.0.0.1:1 egress=127.0.0.1:2"
                                + " control=127.0.0.1:3 admin=127.0.0.1:4");
        assertThat(node.nodeId()).isEqualTo("a-1");
        assertThat(node.ingress()).isEqualTo(new HostPort("127.0.0.1", 1));
        assertThat(node.control()).isEqualTo(new HostPort("127.0.0.1", 3));
        assertThat(node.admin()).hasToString("http://127.0.0.1:4");
        assertThat(NodeEndpoints.parse("warning: something else")).isNull();
    }

    /** Guards against a labelled metric being taken for the unlabelled value of the node. */
    @Test
    void parsesOnlyUnlabelledMetrics() {
        assertThat(
                        AdminClient.parseMetrics(
                                "# HELP x y\nazurestage_members 12.0\nother{a=\"b c\"} 7\n"))
                .containsOnlyKeys("azurestage_members")
                .containsEntry("azurestage_members", 12.0);
    }
}
