package io.azurestage.node;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Listed in KNOWN-RED.txt: the timeout does not always end a chunk's line without end. */
class EndlessChunkLineKnownRed extends ResponseScenario {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n";

    /** Jetty keeps none of these bytes, so only the timeout can end them. */
    @ParameterizedTest
    @ValueSource(strings = {"1;", ""})
    void lineOfAChunkEndsAtTheTimeout(String prefix) throws Exception {
        writtenUntilClose(HEAD + "Transfer-Encoding: chunked\r\n\r\n" + prefix, "0");
    }
}
