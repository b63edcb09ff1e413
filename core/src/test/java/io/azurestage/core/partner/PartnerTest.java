package io.azurestage.core.partner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.azurestage.config.WorkClass;
import io.azurestage.core.route.Route;
import io.azurestage.core.route.RouteTarget;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PartnerTest {
    private static PartnerPolicy partner(String name, OptionalInt rank, String... keys) {
        return new PartnerPolicy(name, Set.of(keys), rank, Optional.empty());
    }

    private static Route route(int rank, boolean open) {
        return new Route(
                "r" + rank,
                "h",
                "/" + rank + "/",
                true,
                rank,
                1,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                open,
                List.of(new RouteTarget("s", 1)));
    }

    @Nested
    class Keys {
        @Test
        void eachKeyOfPartnerIdentifiesIt() {
            PartnerPolicy a = partner("a", OptionalInt.empty(), "k1", "k2");
            PartnerDirectory d =
                    new PartnerDirectory(List.of(a, partner("b", OptionalInt.empty(), "k3")));
            assertThat(d.byKey("k2")).contains(a);
            assertThat(d.byKey("k4")).isEmpty();
        }

        @Test
        void sharedKeysAndNamesAreRefusedWithoutShowingKeys() {
            PartnerPolicy a = partner("a", OptionalInt.empty(), "k1");
            assertThatThrownBy(
                            () ->
                                    new PartnerDirectory(
                                            List.of(a, partner("b", OptionalInt.empty(), "k1"))))
                    .hasMessageContaining("a and b share a key")
                    .message()
                    .doesNotContain("k1");
            assertThatThrownBy(() -> new PartnerDirectory(List.of(a, a)))
                    .hasMessageContaining("two partners have the name a");
            assertThat(a.toString()).doesNotContain("k1");
        }
    }

    @Nested
    class Ranks {
        private final List<Route> mRoutes =
                List.of(route(0, false), route(1, false), route(2, false), route(1, true));

        @Test
        void ranksOfRoutesDecideAmongPartnersOfOneRank() {
            RankTable t = new RankTable(List.of(partner("a", OptionalInt.of(1))), mRoutes);
            assertThat(t.workClass(OptionalInt.of(1), mRoutes.get(0)))
                    .isEqualTo(WorkClass.CRITICAL);
            assertThat(t.workClass(OptionalInt.of(1), mRoutes.get(2)))
                    .isEqualTo(WorkClass.BROWSING);
            assertThat(t.workClass(OptionalInt.empty(), mRoutes.get(3)))
                    .isEqualTo(WorkClass.NORMAL);
        }

        @Test
        void rankOfPartnerPrecedesThatOfRoute() {
            RankTable t =
                    new RankTable(
                            List.of(
                                    partner("a", OptionalInt.of(1)),
                                    partner("b", OptionalInt.of(0))),
                            mRoutes);
            WorkClass leastOfFirst = t.workClass(OptionalInt.of(0), mRoutes.get(2));
            WorkClass mostOfSecond = t.workClass(OptionalInt.of(1), mRoutes.get(0));
            assertThat(leastOfFirst).isLessThanOrEqualTo(mostOfSecond);
            assertThat(t.workClass(OptionalInt.of(1), mRoutes.get(1))).isEqualTo(WorkClass.NORMAL);
            assertThat(t.workClass(OptionalInt.of(1), mRoutes.get(2)))
                    .isEqualTo(WorkClass.BROWSING);
            assertThat(t.workClass(OptionalInt.empty(), mRoutes.get(2)))
                    .isEqualTo(WorkClass.BROWSING);
        }

        @Test
        void deploymentWithoutPartnersUsesRanksOfRoutes() {
            RankTable t = new RankTable(List.of(), List.of(route(0, false), route(5, false)));
            assertThat(t.workClass(OptionalInt.empty(), route(0, false)))
                    .isEqualTo(WorkClass.CRITICAL);
            assertThat(t.workClass(OptionalInt.empty(), route(5, false)))
                    .isEqualTo(WorkClass.BROWSING);
        }
    }
}
