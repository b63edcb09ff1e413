package io.azurestage.core.event;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.time.HlcTime;
import java.util.Map;
import org.junit.jupiter.api.Test;

class EventTest {
    private static Event event(String reason) {
        return new Event(
                new HlcTime(1, 0),
                "n",
                EventType.ENTRY_UNREADABLE,
                "",
                "",
                Map.of("reason", reason));
    }

    // Guards against log lines as long as what another process has sent.
    @Test
    void longValueIsShortened() {
        assertThat(event("[".repeat(200_000)).fields().get("reason"))
                .startsWith("[[")
                .endsWith("... of 200000")
                .hasSizeLessThan(1_100);
    }

    @Test
    void shortValueIsKept() {
        assertThat(event("x".repeat(1_024)).fields().get("reason")).isEqualTo("x".repeat(1_024));
    }
}
