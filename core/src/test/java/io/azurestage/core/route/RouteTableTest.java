package io.azurestage.core.route;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RouteTableTest {
    private static Route route(String name, String host, String prefix, RouteTarget... targets) {
        return new Route(
                name,
                host,
                prefix,
                true,
                0,
                2,
                Duration.ofSeconds(5),
                Duration.ofSeconds(1),
                false,
                List.of(targets));
    }

    private static RouteTarget routeTarget(String service, int weight) {
        return new RouteTarget(service, weight);
    }

    @Nested
    class Lookup {
        private final RouteTable mTable =
                new RouteTable(
                        List.of(
                                route("short", "a.example", "/x/", routeTarget("s", 1)),
                                route("long", "a.example", "/x/y/", routeTarget("s", 1)),
                                route("other", "b.example", "/x/", routeTarget("s", 1))));

        @Test
        void longestPrefixWins() {
            assertThat(mTable.find("a.example", "/x/y/z?q=/"))
                    .get()
                    .extracting(Route::name)
                    .isEqualTo("long");
            assertThat(mTable.find("a.example", "/x/yz"))
                    .get()
                    .extracting(Route::name)
                    .isEqualTo("short");
        }

        @Test
        void hostIsComparedWithoutCaseAndPort() {
            assertThat(mTable.find("B.Example:8080", "/x/"))
                    .get()
                    .extracting(Route::name)
                    .isEqualTo("other");
        }

        @Test
        void prefixWithoutTrailingSlashDoesNotMatch() {
            assertThat(mTable.find("a.example", "/x")).isEmpty();
            assertThat(mTable.find("c.example", "/x/")).isEmpty();
        }

        @Test
        void queryIsNotPartOfThePath() {
            assertThat(mTable.find("a.example", "/?p=/x/")).isEmpty();
        }
    }

    @Test
    void routeWithoutServiceIsRejectedWithItsName() {
        assertThatThrownBy(() -> route("r", "h", "/")).hasMessageContaining("route r");
    }

    @Group
    class WeightedSplit {
        @Property(tries = 300, seed = "5")
        void sharesHoldInEveryWindowOf100Requests(
                @ForAll @IntRange(min = 1, max = 99) int weightA,
                @ForAll @IntRange(min = 0, max = 500) int precedingRequests) {
            Route r =
                    route(
                            "r",
                            "h",
                            "/",
                            routeTarget("a", weightA),
                            routeTarget("b", 100 - weightA));
            SplitChooser chooser = new SplitChooser();
            for (int i = 0; i < precedingRequests; i++) {
                chooser.next(r);
            }
            Map<String, Integer> counts = new HashMap<>();
            for (int i = 0; i < 100; i++) {
                counts.merge(chooser.next(r), 1, Integer::sum);
            }
            assertThat(counts.getOrDefault("a", 0)).isBetween(weightA - 1, weightA + 1);
        }
    }
}
