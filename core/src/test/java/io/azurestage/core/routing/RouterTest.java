package io.azurestage.core.routing;

import static io.azurestage.core.routing.AttemptResult.ANSWERED;
import static io.azurestage.core.routing.AttemptResult.DRAINING;
import static io.azurestage.core.routing.AttemptResult.FAILED;
import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

class RouterTest {
    private static final RoutingSettings SETTINGS = RoutingSettings.defaults();
    private static final long LATENCY = Duration.ofMillis(20).toNanos();

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final Set<NodeIdentity> mEjected = new HashSet<>();
    private final EjectionListener mListener =
            new EjectionListener() {
                @Override
                public void onEjected(Endpoint e, Duration howLong, String reason) {
                    assertThat(mEjected.add(e.node())).isTrue();
                }

                @Override
                public void onRestored(Endpoint e) {
                    assertThat(mEjected.remove(e.node())).isTrue();
                }
            };

    // Guards against picking draining, excluded, departed or replaced servers, against picking none
    // while some are usable, and against ejecting more than half of the servers of a service.
    @Property(seed = "41", tries = 1000)
    void picksOnlyUsableServersAndEjectsAtMostHalf(@ForAll long seed) {
        Random random = new Random(seed);
        mEjected.clear();
        Router r = router(random);
        Map<String, Long> newest = new HashMap<>();
        List<Endpoint> known = List.of();
        for (int i = 0; i < 200; i++) {
            if (i % 20 == 0) {
                List<Endpoint> all = randomEndpoints(random);
                r.update(all);
                all.forEach(e -> newest.merge(id(e), e.node().incarnation(), Math::max));
                known = new ArrayList<>(all);
                known.removeIf(e -> e.node().incarnation() < newest.get(id(e)));
                mEjected.retainAll(notDraining(known).stream().map(Endpoint::node).toList());
            }
            List<Endpoint> usable = new ArrayList<>(notDraining(known));
            Set<NodeIdentity> exclude = new HashSet<>();
            known.stream().filter(e -> random.nextInt(4) == 0).forEach(e -> exclude.add(e.node()));
            usable.removeIf(e -> exclude.contains(e.node()));
            Optional<Pick> p = r.pick("desk", exclude);
            assertThat(p.isPresent()).isEqualTo(!usable.isEmpty());
            p.ifPresent(x -> assertThat(usable).contains(x.endpoint()));
            p.ifPresent(x -> x.done(random.nextInt(4) > 0 ? FAILED : ANSWERED, LATENCY, -1));
            assertThat(mEjected.size() * 2).isLessThanOrEqualTo(notDraining(known).size());
            mTime.advance(Duration.ofMillis(random.nextInt(300)));
            for (Endpoint e : known) {
                assertThat(r.find(e.node())).isPresent();
            }
        }
    }

    // Guards against a server whose false load reports attract or divert too much traffic. If there
    // is another data centre, one pick in four ignores the reports, hence a quarter of the lower
    // bound.
    @Property(seed = "42", tries = 100)
    void falseLoadReportsMoveABoundedShareOfTraffic(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 8) int servers,
            @ForAll @IntRange(min = 1, max = 60) int concurrency,
            @ForAll @DoubleRange(max = 5) double trueLoad,
            @ForAll @DoubleRange(max = 100) double falseLoad,
            @ForAll boolean hasOtherDataCentre) {
        Random random = new Random(seed);
        Router r = router(random);
        List<Endpoint> all = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            all.add(endpoint("n" + i, 1, "dc-1", 0));
        }
        if (hasOtherDataCentre) {
            all.add(endpoint("elsewhere", 1, "dc-2", 0));
        }
        r.update(all);
        int falseReportPicks = 0;
        List<Pick> running = new ArrayList<>();
        int picks = 8000;
        for (int i = 0; i < picks; i++) {
            running.add(r.pick("desk", Set.of()).orElseThrow());
            if (running.size() >= concurrency) {
                Pick p = running.remove(random.nextInt(running.size()));
                boolean reportsFalsely = id(p.endpoint()).equals("n0");
                falseReportPicks += reportsFalsely ? 1 : 0;
                p.done(ANSWERED, LATENCY, reportsFalsely ? falseLoad : trueLoad);
            }
            mTime.advance(Duration.ofMillis(1));
        }
        assertThat((double) falseReportPicks * servers / picks)
                .isBetween(hasOtherDataCentre ? 0.1 : 0.4, 1.6);
    }

    // Guards against needless crossings to another data centre, and against an overloaded local
    // one.
    @Property(seed = "43", tries = 50)
    void staysInTheDataCentreUntilTheWaitExceedsTheCrossingCost(@ForAll long seed) {
        for (String away : List.of("dc-2", "far")) {
            Router r = router(new Random(seed));
            r.update(List.of(endpoint("near", 1, "dc-1", 0), endpoint("away", 1, away, 0)));
            assertThat(countCrossings(r, 0.7)).isZero();
            boolean isFar = away.equals("far");
            assertThat(countCrossings(r, 1.2)).isBetween(isFar ? 0 : 100, isFar ? 0 : 190);
        }
    }

    // Guards against full load on a server in slow start, and against a wrong clock that prolongs
    // slow start.
    @Property(seed = "44", tries = 50)
    void serverInSlowStartGetsAGrowingShare(
            @ForAll long seed, @ForAll @IntRange(max = 1_000_000) int clockAhead) {
        Router r = router(new Random(seed));
        long started = mTime.now().plusMillis(clockAhead).toEpochMilli();
        r.update(List.of(endpoint("old", 1, "dc-1", 0), endpoint("young", 1, "dc-1", started)));
        int cold = countPicks(r, "young", 1000);
        mTime.advance(SETTINGS.warmUp().dividedBy(2));
        int half = countPicks(r, "young", 1000);
        mTime.advance(SETTINGS.warmUp().dividedBy(2));
        assertThat(cold).isLessThan(170);
        assertThat(half).isBetween(250, 420);
        assertThat(countPicks(r, "young", 1000)).isBetween(430, 570);
    }

    // Guards against retrying a broken server too often, and against never retrying it.
    @Example
    void ejectionsLengthenAndEndAndSurviveUpdates() {
        Router r = router(new Random(1));
        Endpoint bad = endpoint("bad", 1, "dc-1", 0);
        List<Endpoint> all = List.of(bad, endpoint("good", 1, "dc-1", 0));
        r.update(all);
        for (int seconds : new int[] {1, 2, 4}) {
            for (int i = 0; i < FailureWindow.EJECTION_CONSECUTIVE_FAILURES; i++) {
                r.find(bad.node()).orElseThrow().done(FAILED, LATENCY, -1);
            }
            r.update(all);
            mTime.advance(Duration.ofSeconds(seconds).minusNanos(1));
            assertThat(countPicks(r, "bad", 100)).isZero();
            mTime.advance(Duration.ofNanos(1));
            assertThat(countPicks(r, "bad", 100)).isPositive();
        }
        mTime.advance(Duration.ofSeconds(10));
        for (int i = 0; i < FailureWindow.MIN_ATTEMPTS; i++) {
            r.find(bad.node()).orElseThrow().done(i % 2 > 0 ? FAILED : ANSWERED, LATENCY, -1);
        }
        assertThat(mEjected).as("half of the attempts failed").containsExactly(bad.node());
        r.update(all.subList(1, 2));
        mEjected.clear();
        r.update(all);
        assertThat(countPicks(r, "bad", 100))
                .as("state of a server that has left is dropped")
                .isPositive();
    }

    // Guards against a near server that keeps its traffic although it fails many requests.
    @Example
    void nearServerWithHighFaultRateGetsLittleTraffic() {
        Router r = router(new Random(7));
        r.update(List.of(endpoint("near", 1, "dc-1", 0), endpoint("away", 1, "dc-2", 0)));
        assertThat(countPicks(r, "near", 200)).isEqualTo(200);
        reportFaults(r, "near", 0.45);
        assertThat(countPicks(r, "near", 200)).isLessThan(10);
        mTime.advance(Duration.ofSeconds(5));
        assertThat(countPicks(r, "near", 200))
                .as("picked again after the report has expired")
                .isPositive();
    }

    // Guards against the same fault among servers of one data centre.
    @Example
    void serverWithHighFaultRateGetsLessThanItsPeers() {
        Router r = router(new Random(7));
        r.update(List.of(endpoint("bad", 1, "dc-1", 0), endpoint("good", 1, "dc-1", 0)));
        reportFaults(r, "bad", 0.45);
        assertThat(countPicks(r, "bad", 400)).isBetween(1, 60);
    }

    // Guards against useless traffic between data centres.
    @Example
    void equalFaultRatesKeepTrafficInTheDataCentre() {
        Router r = router(new Random(7));
        r.update(List.of(endpoint("near", 1, "dc-1", 0), endpoint("away", 1, "dc-2", 0)));
        reportFaults(r, "near", 0.55);
        reportFaults(r, "away", 0.55);
        assertThat(countPicks(r, "near", 200)).isEqualTo(200);
    }

    private static void reportFaults(Router r, String nodeId, double rate) {
        Pick p = r.find(new NodeIdentity(nodeId, 1)).orElseThrow();
        p.faults(rate);
        p.done(ANSWERED, LATENCY, 0.5);
    }

    // Guards against new work for a server that refuses requests as draining before membership
    // reports the new state.
    @Example
    void serverThatRefusesAsDrainingGetsNoNewWork() {
        Router r = router(new Random(1));
        r.update(List.of(endpoint("a", 1, "dc-1", 0), endpoint("b", 1, "dc-1", 0)));
        NodeIdentity a = new NodeIdentity("a", 1);
        r.find(a).orElseThrow().done(DRAINING, LATENCY, -1);
        assertThat(countPicks(r, "a", 100)).isZero();
        assertThat(r.find(a)).isPresent();
    }

    private Router router(Random random) {
        return new Router("dc-1", "r-1", SETTINGS, mListener, mTime, random);
    }

    private static int countPicks(Router r, String nodeId, int picks) {
        int n = 0;
        for (int i = 0; i < picks; i++) {
            Pick p = r.pick("desk", Set.of()).orElseThrow();
            n += id(p.endpoint()).equals(nodeId) ? 1 : 0;
            p.done(ANSWERED, LATENCY, -1);
        }
        return n;
    }

    private static int countCrossings(Router r, double nearLoad) {
        int n = 0;
        for (int i = 0; i < 200; i++) {
            Pick near = r.find(new NodeIdentity("near", 1)).orElseThrow();
            near.done(ANSWERED, LATENCY, nearLoad);
            n += countPicks(r, "away", 1);
        }
        return n;
    }

    private static String id(Endpoint e) {
        return e.node().nodeId();
    }

    private static List<Endpoint> randomEndpoints(Random random) {
        List<Endpoint> all = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Endpoint e = endpoint("n" + i, random.nextInt(3), "dc-" + random.nextInt(1, 3), 0);
            if (random.nextInt(4) > 0) {
                all.add(random.nextInt(5) > 0 ? e : withState(e, Endpoint.State.DRAINING));
            }
        }
        return all;
    }

    private static Endpoint endpoint(String id, long incarnation, String dataCentre, long start) {
        NodeIdentity node = new NodeIdentity(id, incarnation);
        String region = dataCentre.equals("far") ? "r-2" : "r-1";
        Endpoint.State state = Endpoint.State.SERVING;
        return new Endpoint(node, "desk", "10.0.0.1:80", dataCentre, region, 130, state, start);
    }

    private static Endpoint withState(Endpoint e, Endpoint.State state) {
        return new Endpoint(
                e.node(), "desk", e.address(), e.dataCentre(), e.region(), 130, state, 0);
    }

    private static List<Endpoint> notDraining(List<Endpoint> all) {
        return all.stream().filter(e -> e.state() != Endpoint.State.DRAINING).toList();
    }
}
