package io.azurestage.relay.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.azurestage.core.backend.BackendServer;
import io.azurestage.core.backend.BackendState;
import io.azurestage.core.backend.ServerEntry;
import io.azurestage.core.context.NodeIdentity;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EntryCodecTest {
    private static final ServerEntry ENTRY =
            new ServerEntry(
                    new NodeIdentity("n", 7),
                    "10.0.0.1:7000",
                    "dc",
                    "r",
                    new BackendServer("s", 3, "books", "10.0.0.1:80", 15, BackendState.DRAINING),
                    Map.of("s", 3L, "t", 2L));

    @Test
    void decodedEntryEqualsTheEncodedOne() throws IOException {
        assertThat(EntryCodec.decode(EntryCodec.encode(ENTRY))).isEqualTo(ENTRY);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "null",
                "[]",
                "{",
                "{\"server\":1}",
                "\u0000\u0001",
            })
    void bytesThatAreNoEntryAreRejected(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        assertThatThrownBy(() -> EntryCodec.decode(bytes)).isInstanceOf(IOException.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {"DRAINING", "books", "10.0.0.1:7000", "15", "dc"})
    void entryWithAnInvalidFieldIsRejected(String value) {
        String text = new String(EntryCodec.encode(ENTRY), StandardCharsets.UTF_8);
        String modified = text.replace("\"" + value + "\"", "{}").replace(":" + value + ",", ":0,");
        byte[] bytes = modified.getBytes(StandardCharsets.UTF_8);
        assertThatThrownBy(() -> EntryCodec.decode(bytes)).isInstanceOf(IOException.class);
    }

    @Nested
    class OtherBuilds {
        private byte[] recorded() throws IOException {
            try (InputStream in = getClass().getResourceAsStream("/builds/9b20e3a/entry.json")) {
                return in.readAllBytes();
            }
        }

        /** Both builds read what the other writes, because they write the same. */
        @Test
        void entryIsWrittenAsByTheEarlierBuild() throws IOException {
            ServerEntry entry = EntryCodec.decode(recorded());
            assertThat(entry.server().state()).isEqualTo(BackendState.DRAINING);
            assertThat(entry.node()).isEqualTo(new NodeIdentity("node-1", 1768777739106L));
            assertThat(EntryCodec.encode(entry)).isEqualTo(recorded());
        }

        @Test
        void unknownFieldsAreIgnored() throws IOException {
            String text = new String(recorded(), StandardCharsets.UTF_8);
            String later =
                    text.replace("{\"nodeId\"", "{\"later\":{\"a\":[1]},\"nodeId\"")
                            .replace("{\"id\"", "{\"later\":null,\"id\"");
            assertThat(EntryCodec.decode(later.getBytes(StandardCharsets.UTF_8)))
                    .isEqualTo(EntryCodec.decode(recorded()));
        }
    }
}
