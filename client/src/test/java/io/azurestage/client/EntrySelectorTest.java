package io.azurestage.client;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class EntrySelectorTest {
    private static List<URI> addresses(int from, int to) {
        return IntStream.range(from, to).mapToObj(i -> URI.create("http://e" + i)).toList();
    }

    /** Guards against calls to a failed or already tried entry while another one works. */
    @Property(seed = "61", tries = 300)
    void picksWorkingUntriedEntriesFirst(
            @ForAll Set<@IntRange(max = 5) Integer> failed,
            @ForAll Set<@IntRange(max = 5) Integer> tried) {
        List<URI> all = addresses(0, 6);
        EntrySelector entries = new EntrySelector(all, new Random(1));
        failed.forEach(i -> entries.markFailed(all.get(i)));
        Set<URI> triedEntries = new HashSet<>();
        tried.forEach(i -> triedEntries.add(all.get(i)));

        URI picked = entries.pick(triedEntries);

        boolean allTried = tried.size() == all.size();
        assertThat(triedEntries.contains(picked)).isEqualTo(allTried);
        boolean workingLeft =
                IntStream.range(0, 6)
                        .anyMatch(i -> !failed.contains(i) && (allTried || !tried.contains(i)));
        if (workingLeft) {
            assertThat(failed).doesNotContain(all.indexOf(picked));
        }
    }

    /**
     * Guards against calls to replaced entries, and against losing the failure state of those that
     * remain.
     */
    @Test
    void replacedEntriesAreNotPicked() {
        EntrySelector entries = new EntrySelector(addresses(0, 3), new Random(1));
        entries.markFailed(URI.create("http://e2"));
        entries.replace(addresses(2, 5));
        entries.markFailed(URI.create("http://e0"));
        Set<URI> picked = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            picked.add(entries.pick(Set.of()));
        }
        assertThat(picked).containsExactlyInAnyOrderElementsOf(addresses(3, 5));
    }

    /** Guards against a client that picks no entry after all entries have failed. */
    @Property(seed = "62", tries = 50)
    void someEntryIsAlwaysPicked(@ForAll @Size(max = 20) List<@IntRange(max = 2) Integer> failed) {
        List<URI> all = addresses(0, 3);
        EntrySelector entries = new EntrySelector(all, new Random(1));
        for (int i : failed) {
            entries.markFailed(all.get(i));
            assertThat(all).contains(entries.pick(Set.of()));
        }
    }
}
