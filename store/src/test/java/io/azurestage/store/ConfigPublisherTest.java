package io.azurestage.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.config.AcceptedConfig;
import io.azurestage.config.Azurestage;
import io.azurestage.config.MeshConfig;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.statistics.Statistics;

class ConfigPublisherTest {
    private static final Clock CLOCK =
            Clock.fixed(Instant.parse("2026-01-01T00:00:00Z"), ZoneOffset.UTC);

    private int mNextId;

    private static MeshConfig config(int share) {
        return Azurestage.config()
                .partner("hire-house", p -> p.share(share).credential("x"))
                .service("bookings", s -> s.critical("POST", "/bookings"))
                .build();
    }

    private ConfigPublisher publisher(SimulatedStore store) {
        return new ConfigPublisher(store, CLOCK, () -> "change-" + mNextId++, d -> store.pause());
    }

    private PushResult push(SimulatedStore store, Push push) {
        CompletableFuture<PushResult> done = publisher(store).push(push);
        store.run();
        return done.join();
    }

    private static List<AcceptedConfig> versions(SimulatedStore store) {
        return store.applied().stream()
                .filter(v -> v.key().equals(ConfigVersions.CURRENT_KEY))
                .map(ConfigPublisherTest::decode)
                .toList();
    }

    private static AcceptedConfig decode(Versioned v) {
        return AcceptedConfig.parse(new String(v.value(), StandardCharsets.UTF_8));
    }

    // Guards against a push result that contradicts the store, two versions with the same number,
    // and an accepted version that is missing from the history. Concurrent pushes run in random
    // order on a store that loses calls and responses.
    @Property(tries = 1000, seed = "61")
    void resultsOfConcurrentPushesMatchTheStore(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 4) int pushers,
            @ForAll @IntRange(min = 0, max = 70) int faultPercent,
            @ForAll @IntRange(min = 0, max = 9) int reported) {
        SimulatedStore store = new SimulatedStore(seed, faultPercent / 100.0);
        Map<String, CompletableFuture<PushResult>> results = new HashMap<>();
        for (int i = 0; i < pushers; i++) {
            int share = 10 + i;
            String first = "author-" + i;
            String second = first + "-again";
            results.put(first, publisher(store).push(Push.of(config(share), first)));
            results.put(
                    second,
                    results.get(first)
                            .thenCompose(
                                    r ->
                                            publisher(store)
                                                    .push(
                                                            Push.of(config(share + 50), second)
                                                                    .reported(reported))));
        }
        store.run();

        List<AcceptedConfig> versions = versions(store);
        for (int i = 1; i < versions.size(); i++) {
            assertThat(versions.get(i).number()).isGreaterThan(versions.get(i - 1).number());
        }
        results.forEach((author, result) -> assertMatchesStore(author, result.join(), versions));
        store.stopFaults();
        assertThat(push(store, Push.of(config(1), "last"))).isInstanceOf(PushResult.Accepted.class);
        assertThat(history(store)).containsAll(versions);
    }

    private static void assertMatchesStore(
            String author, PushResult result, List<AcceptedConfig> versions) {
        Statistics.label("outcome")
                .collect(result.getClass().getSimpleName())
                .coverage(
                        c -> {
                            c.check("Accepted").count(n -> n > 0);
                            c.check("Conflict").count(n -> n > 0);
                            c.check("Unknown").count(n -> n > 0);
                            c.check("Unavailable").count(n -> n > 0);
                        });
        List<AcceptedConfig> own =
                versions.stream().filter(v -> v.author().equals(author)).toList();
        if (result instanceof PushResult.Accepted a) {
            assertThat(own).containsExactly(a.record());
        } else if (result instanceof PushResult.Unknown u) {
            assertThat(own).hasSizeLessThanOrEqualTo(1).allMatch(u.attempted()::equals);
        } else {
            assertThat(own).isEmpty();
        }
    }

    private static List<AcceptedConfig> history(SimulatedStore store) {
        List<AcceptedConfig> all = new ArrayList<>();
        for (Versioned v : store.applied()) {
            if (!v.key().equals(ConfigVersions.CURRENT_KEY)) {
                AcceptedConfig a = decode(v);
                assertThat(v.key()).isEqualTo(ConfigVersions.historyKey(a.number()));
                all.add(a);
            }
        }
        return all;
    }

    @Example
    void numberIsHigherThanAnyReportedNumber() {
        SimulatedStore store = new SimulatedStore(1, 0);
        push(store, Push.of(config(10), "a"));
        PushResult r = push(store, Push.of(config(20), "b").reported(41));
        assertThat(((PushResult.Accepted) r).record().number()).isEqualTo(42);
        assertThat(((PushResult.Accepted) r).difference().lines())
                .containsExactly("partner hire-house: share 10 -> 20");
    }

    // Guards against a push that silently reverts a change made after the operator's read.
    @Example
    void pushFromOutdatedBaseIsAConflictWithTheDifference() {
        SimulatedStore store = new SimulatedStore(1, 0);
        push(store, Push.of(config(10), "a").base(0));
        push(store, Push.of(config(20), "b").base(1));
        PushResult.Conflict c = (PushResult.Conflict) push(store, Push.of(config(30), "c").base(1));
        assertThat(c.current().orElseThrow().author()).isEqualTo("b");
        assertThat(c.difference().lines()).containsExactly("partner hire-house: share 20 -> 30");
        assertThat(c.remedy()).contains("--base 2");
        assertThat(versions(store)).hasSize(2);
    }

    @Example
    void invalidConfigurationIsNotSent() {
        SimulatedStore store = new SimulatedStore(1, 0);
        assertThat(push(store, Push.of(config(101), "a"))).isInstanceOf(PushResult.Invalid.class);
        assertThat(push(store, Push.of(config(1), " "))).isInstanceOf(PushResult.Invalid.class);
        assertThat(store.applied()).isEmpty();
    }
}
