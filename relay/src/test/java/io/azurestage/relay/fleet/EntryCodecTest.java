package io.azurestage.relay.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.azurestage.core.backend.BackendServer;
import io.azurestage.core.backend.BackendState;
import io.azurestage.core.backend.ServerEntry;
import io.azurestage.core.context.NodeIdentity;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
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
                    new BackendServer("s", 3, "books", "10.0.0.1:80", 15, BackendState.DRAINING));

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
}
