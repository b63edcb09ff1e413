package io.azurestage.core.event;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against events that the catalogue for operators omits or describes differently. */
class EventCatalogueTest {
    private static final Path CATALOGUE = Path.of("..", "docs", "events.md");

    @Test
    void catalogueListsEveryEventAsDefinedInCode() throws IOException {
        List<String> rows =
                Files.readAllLines(CATALOGUE).stream()
                        .filter(l -> l.matches("\\| \\d+ \\|.*"))
                        .map(l -> l.substring(0, l.lastIndexOf(" | ")))
                        .toList();
        List<String> expected =
                Arrays.stream(EventType.values())
                        .map(
                                t ->
                                        "| %d | %s | %s | %s"
                                                .formatted(
                                                        t.number(),
                                                        t.name(),
                                                        t.severity(),
                                                        t.description()))
                        .toList();
        assertThat(rows).isEqualTo(expected);
    }

    @Test
    void numbersAreUnique() {
        assertThat(Arrays.stream(EventType.values()).map(EventType::number))
                .doesNotHaveDuplicates();
    }
}
