package io.azurestage.config;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Instant;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.LongRange;

class ConfigPropertyTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Provide
    Arbitrary<MeshConfig> configs() {
        return Configs.valid();
    }

    @Property(tries = 300, seed = "51")
    void canonicalJsonParsesAndFormatsToTheSameText(@ForAll("configs") MeshConfig c) {
        assertThat(Azurestage.check(c)).isEmpty();
        MeshConfig parsed = Azurestage.parse(c.toJson());
        assertThat(parsed).isEqualTo(c);
        assertThat(parsed.toJson()).isEqualTo(c.toJson());
        assertThat(c.toJson()).endsWith("}\n").doesNotContain("\r");
    }

    // Guards against a document that is wrapped in a string, which nodes cannot compare.
    @Property(tries = 300, seed = "52")
    void acceptedConfigKeepsTheDocumentAsAnObject(
            @ForAll("configs") MeshConfig c,
            @ForAll @LongRange(min = 0, max = 4_000_000_000_000L) long millis)
            throws IOException {
        AcceptedConfig a = new AcceptedConfig(7, "id", "é \"x\"", Instant.ofEpochMilli(millis), c);
        assertThat(AcceptedConfig.parse(a.toJson())).isEqualTo(a);
        JsonNode document = MAPPER.readTree(a.toJson()).get("document");
        assertThat(document).isEqualTo(MAPPER.readTree(c.toJson()));
    }

    // Guards against a change that is missing from the difference shown to the operator.
    @Property(tries = 500, seed = "53")
    void differenceIsEmptyOnlyBetweenEqualConfigurations(
            @ForAll("configs") MeshConfig a, @ForAll("configs") MeshConfig b) {
        assertThat(ConfigDiff.between(a, b).isEmpty()).isEqualTo(a.equals(b));
        assertThat(ConfigDiff.between(a, a).lines()).isEmpty();
    }
}
