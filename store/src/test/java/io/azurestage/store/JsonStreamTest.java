package io.azurestage.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class JsonStreamTest {

    // Guards against messages that are lost or duplicated when chunks of the stream split them.
    @Property(tries = 300, seed = "41")
    void findsTheSameObjectsForAllChunkSizes(
            @ForAll @Size(max = 20) List<@IntRange(min = 1, max = 40) Integer> cuts,
            @ForAll @Size(max = 6) List<String> texts,
            @ForAll boolean lines) {
        StringBuilder all = new StringBuilder();
        for (String t : texts) {
            JsonNode n = EtcdJson.MAPPER.createObjectNode().put("é", t).putObject("x");
            all.append(EtcdJson.MAPPER.createObjectNode().put("é", t).set("x", n).toString());
            all.append(lines ? "\n" : "");
        }
        List<String> found = new ArrayList<>();
        JsonStream stream = new JsonStream(n -> found.add(n.get("é").asText()));
        ByteBuffer bytes = ByteBuffer.wrap(all.toString().getBytes(StandardCharsets.UTF_8));
        for (int cut : cuts) {
            int size = Math.min(cut, bytes.remaining());
            stream.feed(bytes.slice(bytes.position(), size));
            bytes.position(bytes.position() + size);
        }
        stream.feed(bytes);
        List<String> expected =
                texts.stream()
                        .map(
                                t ->
                                        new String(
                                                t.getBytes(StandardCharsets.UTF_8),
                                                StandardCharsets.UTF_8))
                        .toList();
        assertThat(found).isEqualTo(expected);
    }

    @Example
    void rejectsValuesOtherThanObjects() {
        JsonStream stream = new JsonStream(n -> {});
        ByteBuffer text = ByteBuffer.wrap("[1]".getBytes(StandardCharsets.UTF_8));
        assertThatThrownBy(() -> stream.feed(text)).isInstanceOf(EtcdFormatException.class);
    }
}
