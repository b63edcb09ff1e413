package io.azurestage.bench.standin;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.config.AcceptedConfig;
import io.azurestage.config.Azurestage;
import io.azurestage.config.MeshConfig;
import io.azurestage.store.ConfigPublisher;
import io.azurestage.store.ConfigVersions;
import io.azurestage.store.EtcdStore;
import io.azurestage.store.PlatformStore;
import io.azurestage.store.Push;
import io.azurestage.store.PushResult;
import io.azurestage.store.VersionRead;
import java.time.Clock;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class PublisherOverHttpTest {
    private static final List<StandInStoreFault> FAULTS =
            List.of(
                    StandInStoreFault.APPLIED_ANSWER_LOST,
                    StandInStoreFault.NOT_APPLIED_ANSWER_LOST,
                    StandInStoreFault.APPLIED_ANSWER_GARBLED,
                    StandInStoreFault.ERROR_STATUS,
                    StandInStoreFault.DROPPED);

    // Guards against store results that make concurrent pushers report a wrong outcome.
    @Property(tries = 40, seed = "81")
    void concurrentPushesReportTheActualOutcome(
            @ForAll @Size(5) List<@IntRange(min = 0, max = 6) Integer> faults) {
        try (StandInStore server = StandInStore.start();
                PlatformStore store =
                        EtcdStore.connect(List.of(server.uri()), Duration.ofSeconds(20))) {
            for (int i = 0; i < FAULTS.size(); i++) {
                server.enableFaultForCalls(FAULTS.get(i), faults.get(i));
            }
            List<CompletableFuture<PushResult>> pushes =
                    IntStream.range(0, 4).mapToObj(i -> push(store, i)).toList();
            pushes.forEach(CompletableFuture::join);
            FAULTS.forEach(server::disableFault);
            assertThat(push(store, 9).join()).isInstanceOf(PushResult.Accepted.class);
            Set<AcceptedConfig> accepted = versions(store);
            for (CompletableFuture<PushResult> push : pushes) {
                if (push.join() instanceof PushResult.Accepted a) {
                    assertThat(accepted.remove(a.record())).isTrue();
                } else if (push.join() instanceof PushResult.Unknown u) {
                    accepted.remove(u.attempted());
                }
            }
            assertThat(accepted).extracting(AcceptedConfig::author).containsExactly("author-9");
        }
    }

    private static CompletableFuture<PushResult> push(PlatformStore store, int pusher) {
        MeshConfig config =
                Azurestage.config()
                        .partner("hire-house", p -> p.share(10 + pusher).credential("x"))
                        .service("bookings", s -> s.critical("POST", "/bookings"))
                        .build();
        return new ConfigPublisher(
                        store,
                        Clock.systemUTC(),
                        () -> UUID.randomUUID().toString(),
                        pause -> CompletableFuture.completedFuture(null))
                .push(Push.of(config, "author-" + pusher));
    }

    private static Set<AcceptedConfig> versions(PlatformStore store) {
        ConfigVersions versions = new ConfigVersions(store);
        VersionRead.Found last = (VersionRead.Found) versions.current().join();
        Set<AcceptedConfig> all = new HashSet<>();
        for (long n = 1; n <= last.record().number(); n++) {
            all.add(((VersionRead.Found) versions.history(n).join()).record());
        }
        return all;
    }
}
