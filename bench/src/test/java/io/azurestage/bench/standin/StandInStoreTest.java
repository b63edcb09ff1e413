package io.azurestage.bench.standin;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.time.ManualTimeSource;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class StandInStoreTest {
    private final HttpClient mHttp = HttpClient.newHttpClient();

    private String control(StandInStore store, String path)
            throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(store.controlUri().resolve(path))
                        .POST(HttpRequest.BodyPublishers.noBody())
                        .build();
        return mHttp.send(request, HttpResponse.BodyHandlers.ofString()).body();
    }

    private int range(StandInStore store) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(store.uri().resolve("/v3/kv/range"))
                        .POST(HttpRequest.BodyPublishers.ofString("{\"key\":\"aw==\"}"))
                        .build();
        // Avoids a pooled connection that the store has closed but the client still considers open.
        HttpClient unpooled = HttpClient.newHttpClient();
        return unpooled.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    }

    @Test
    void isControlledOverHttp() throws IOException, InterruptedException {
        try (StandInStore store = StandInStore.start()) {
            control(store, "/control/fault?name=error-status&times=1");
            assertThat(range(store)).isEqualTo(503);
            assertThat(range(store)).isEqualTo(200);
            control(store, "/control/fault?name=refused&on=true");
            control(store, "/control/fault?name=refused&on=false");
            assertThat(range(store)).isEqualTo(200);
            assertThat(control(store, "/control/counters")).contains("\"range\":3");
            assertThat(control(store, "/control/fault?name=none&on=true")).contains("No enum");
        }
    }

    // With fixed one-second windows, a burst across a boundary would be split and its peak missed.
    @Test
    void peakIsCountedOverASlidingSecond() {
        ManualTimeSource time = new ManualTimeSource();
        StandInStoreMeter meter = new StandInStoreMeter();
        for (int i = 0; i < 30; i++) {
            time.advance(Duration.ofMillis(i == 10 ? 950 : 10));
            meter.count("range", time.nanos());
        }
        assertThat(meter.read().peakPerSecond()).isEqualTo(20);
        assertThat(meter.read().total()).isEqualTo(30);
    }

    // Guards against leases that outlive their time to live, or that expire despite a renewal.
    @Test
    void leaseExpiresAfterItsTimeToLive() {
        List<StandInStoreChange> changes = new ArrayList<>();
        StandInStoreState state = new StandInStoreState(changes::addAll);
        long second = Duration.ofSeconds(1).toNanos();
        long lease = state.grant(5, 0);
        state.put("k", new byte[0], lease);
        state.keepAlive(lease, 4 * second);
        state.expire(9 * second - 1);
        assertThat(state.hasLease(lease)).isTrue();
        state.expire(9 * second);
        assertThat(state.keepAlive(lease, 9 * second)).isZero();
        assertThat(changes).hasSize(2).last().matches(StandInStoreChange::isRemoval);
    }
}
