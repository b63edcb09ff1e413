package io.azurestage.core.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.azurestage.config.WorkClass;
import io.azurestage.core.time.ManualTimeSource;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class AdmissionComponentsTest {
    @Group
    class FairAllocation {
        // Guards against unallocated capacity, and against a claimant that gets more per weight
        // than
        // one whose demand is not met.
        @Property(seed = "21", tries = 300)
        void isWeightedMaxMin(
                @ForAll @DoubleRange(max = 1000) double capacity,
                @ForAll @Size(min = 1, max = 8) List<@DoubleRange(max = 500) Double> demandList,
                @ForAll @Size(value = 8) List<@IntRange(min = 1, max = 100) Integer> weightList) {
            double[] demands = demandList.stream().mapToDouble(d -> d).toArray();
            int n = demands.length;
            double[] weights = weightList.stream().limit(n).mapToDouble(w -> w).toArray();
            double[] allotted = WaterFilling.allocate(capacity, demands, weights);
            double expected = Math.min(capacity, Arrays.stream(demands).sum());
            assertThat(Arrays.stream(allotted).sum()).isCloseTo(expected, within(1e-6));
            for (int i = 0; i < n; i++) {
                assertThat(allotted[i]).isBetween(0.0, demands[i]);
                for (int j = 0; j < n && allotted[i] < demands[i] - 1e-6; j++) {
                    assertThat(allotted[j] / weights[j])
                            .isLessThanOrEqualTo(allotted[i] / weights[i] + 1e-6);
                }
            }
        }
    }

    @Group
    class OfferedCapacityWindow {
        // Guards against an offered capacity that depends on how often the state is sampled.
        @Example
        void samplesAreWeightedByTheirDuration() {
            OfferedCapacity frequent = new OfferedCapacity(AdmissionParameters.DEFAULT);
            OfferedCapacity infrequent = new OfferedCapacity(AdmissionParameters.DEFAULT);
            for (int i = 0; i < 9; i++) {
                frequent.observe(0, 0.4, 10);
            }
            frequent.observe(50e6, 1, 10);
            infrequent.observe(0, 0.4, 90);
            infrequent.observe(50e6, 1, 10);
            assertThat(infrequent.endWindow(100, 20e6))
                    .isCloseTo(frequent.endWindow(100, 20e6), within(1e-9));
        }
    }

    @Group
    class Limit {
        // Guards against a limit of 0 or above the number of slots, whatever the server does.
        @Property(seed = "22", tries = 100)
        void staysWithinTheSlots(
                @ForAll @IntRange(min = 1, max = 200) int slots, @ForAll long randomSeed) {
            Random random = new Random(randomSeed);
            ConcurrencyLimit limit = new ConcurrencyLimit(slots, 0);
            for (int i = 0; i < 2000; i++) {
                long own = (long) (random.nextDouble() * 1e9);
                Completion.Outcome outcome = Completion.Outcome.values()[random.nextInt(4)];
                limit.completed(new Completion(own, own, outcome), random.nextInt(slots));
                if (i % 20 == 0) {
                    limit.endWindow(i * 5_000_000L);
                }
                assertThat(limit.limit()).isBetween(1, slots);
            }
        }

        // Guards against lowering the limit when the latency varies without overload.
        @Property(seed = "23", tries = 20)
        void isNotLoweredForABimodalServer(@ForAll long seed, @ForAll boolean large) {
            int slots = large ? 130 : 13;
            int lowest = ServerModel.BIMODAL.run(slots, true, seed).lowestLimit();
            assertThat(lowest).isGreaterThanOrEqualTo((int) Math.ceil(0.97 * slots));
        }

        // Guards against a limit that stays low after a temporary slowdown of the server.
        @Property(seed = "24", tries = 20)
        void recoversSoonAfterASlowdown(@ForAll long seed, @ForAll boolean large) {
            assertThat(ServerModel.SLOWDOWN.run(large ? 130 : 13, true, seed).recoveryMillis())
                    .isBetween(0.0, 500.0);
        }

        // Guards against a limit that stays high although concurrent requests slow each other down.
        @Property(seed = "20", tries = 5)
        void keepsTheLatencyOfACongestedServerLow(@ForAll long seed) {
            double fixed = ServerModel.CONGESTED.run(130, false, seed).meanMillis();
            double adaptive = ServerModel.CONGESTED.run(130, true, seed).meanMillis();
            assertThat(adaptive).isLessThan(fixed / 2);
        }

        // Guards against a limit that stays above the concurrency at which the server refuses.
        @Property(seed = "25", tries = 5)
        void convergesToTheCapacityOfARefusingServer(@ForAll long seed) {
            assertThat(ServerModel.REFUSING.run(130, true, seed).servedRatio()).isGreaterThan(0.97);
        }
    }

    @Group
    class ArrivalRate {
        // Guards against an estimate that follows noise or lags at the start or end of a surge.
        @Property(seed = "26", tries = 50)
        void followsASurgeWithinTwoWindows(
                @ForAll @IntRange(min = 100, max = 3000) int perSecond,
                @ForAll @IntRange(min = 5, max = 10) int factor,
                @ForAll long randomSeed) {
            Random random = new Random(randomSeed);
            ArrivalRateEstimator window = new ArrivalRateEstimator();
            for (int rate : new int[] {perSecond, perSecond * factor, perSecond}) {
                for (int i = 0; i < 20; i++) {
                    arrive(window, rate * 0.1, random);
                    if (i >= 2) {
                        assertThat(window.rate()).isCloseTo(rate, within(0.6 * rate));
                    }
                }
            }
        }

        private static void arrive(ArrivalRateEstimator window, double mean, Random random) {
            for (double t = -Math.log(1 - random.nextDouble()); t < mean; ) {
                window.arrived(1);
                t -= Math.log(1 - random.nextDouble());
            }
            window.endWindow(0.1);
        }
    }

    @Group
    class QueueOrdering {
        // Guards against starting or shedding work in another order than class, partner and rank.
        @Property(seed = "27", tries = 200)
        void ordersByClassPartnerAndRank(@ForAll long randomSeed) {
            Random random = new Random(randomSeed);
            List<PartnerState> partners =
                    List.of(new PartnerState("a", 0), new PartnerState("b", 0));
            double[] fractions = {random.nextDouble(), random.nextDouble()};
            WorkQueue queue = new WorkQueue(QueueOrder.FIFO);
            List<TrackedRequest> all =
                    IntStream.range(0, 1 + random.nextInt(40))
                            .mapToObj(i -> waiting(partners.get(random.nextInt(2)), random, i))
                            .toList();
            all.forEach(queue::add);
            TrackedRequest next = queue.next((p, c) -> true, 0);
            TrackedRequest candidate =
                    queue.shedCandidate((p, c) -> fractions[partners.indexOf(p)], 0);
            for (TrackedRequest w : all) {
                assertThat(next.classIndex()).isLessThanOrEqualTo(w.classIndex());
                assertThat(candidate.classIndex()).isGreaterThanOrEqualTo(w.classIndex());
                if (w.classIndex() == candidate.classIndex()
                        && w.partner() == candidate.partner()) {
                    assertThat(candidate.work().rank()).isGreaterThanOrEqualTo(w.work().rank());
                }
                if (w.classIndex() == candidate.classIndex()
                        && candidate.work().rank()
                                < fractions[partners.indexOf(candidate.partner())]) {
                    assertThat(w.work().rank())
                            .isLessThan(fractions[partners.indexOf(w.partner())]);
                }
            }
        }

        private static TrackedRequest waiting(PartnerState p, Random random, int sequence) {
            WorkClass c = WorkClass.values()[random.nextInt(3)];
            AdmissionRequest w =
                    new AdmissionRequest(p.name(), c, random.nextDouble(), 1, 1, false, null);
            return new TrackedRequest(w, p, 0, sequence);
        }
    }

    @Group
    class RetryDelay {
        // Guards against refused callers that all retry at the same time or after too long.
        @Property(seed = "28", tries = 200)
        void isSpreadByRank(
                @ForAll @DoubleRange(min = 0.01, max = 1) double fraction,
                @ForAll @DoubleRange(max = 1e9) double drainNanos,
                @ForAll @DoubleRange(max = 0.8) double rank) {
            Duration early = RetryAfter.estimate(drainNanos, fraction, rank);
            Duration late = RetryAfter.estimate(drainNanos, fraction, rank + 0.1);
            assertThat(late.minus(early)).isGreaterThanOrEqualTo(Duration.ofMillis(15));
            assertThat(early).isGreaterThanOrEqualTo(Duration.ofMillis(100));
            assertThat(late).isLessThanOrEqualTo(Duration.ofSeconds(5));
        }
    }

    @Group
    class Levels {
        private final ManualTimeSource mTime = new ManualTimeSource();
        private final ChainLevels mLevels = new ChainLevels(mTime);

        // Guards against a sudden rise that overloads a service, and against levels that never
        // recover.
        @Property(seed = "29", tries = 100)
        void riseInBoundedStepsWithoutFeedback(
                @ForAll @DoubleRange(min = 0.01, max = 0.99) double fraction) {
            mLevels.learn(key(0), levels(Map.of("s", fraction)));
            double before = mLevels.fraction(key(0));
            assertThat(before).isEqualTo(fraction);
            for (int i = 0; i < 300; i++) {
                mTime.advance(Duration.ofMillis(10));
                double now = mLevels.fraction(key(0));
                assertThat(now).isBetween(before, Math.min(1, before * 1.5 + 1e-9));
                assertThat(i >= 98 || now == fraction).isTrue();
                before = now;
            }
            assertThat(before).isEqualTo(1);
        }

        // Guards against a table that grows without bound with the partners and operations.
        @Example
        void areBoundedAndEvictTheOldest() {
            for (int i = 0; i < 10_000; i++) {
                mTime.advance(Duration.ofNanos(1));
                mLevels.learn(key(i), levels(Map.of("s", 0.5)));
            }
            assertThat(mLevels.size()).isLessThanOrEqualTo(4096);
            assertThat(mLevels.fraction(key(9_999))).isEqualTo(0.5);
            assertThat(mLevels.fraction(key(0))).isEqualTo(1);
        }

        // Guards against the servers of one service overwriting each other's fractions.
        @Example
        void averageOverServersAndTakeTheLowestService() {
            for (int i = 0; i < 200; i++) {
                mTime.advance(Duration.ofMillis(1));
                double f = i % 2 == 0 ? 0.2 : 0.4;
                mLevels.learn(key(0), levels(Map.of("s", f, "t", 0.9)));
            }
            assertThat(mLevels.fraction(key(0))).isCloseTo(0.3, within(0.02));
            assertThat(mLevels.fractions(key(0))).containsOnlyKeys("s", "t");
        }

        // Guards against an entry node that recovers only with the next feedback after a surge.
        @Example
        void riseWhenTheOfferedRateFalls() {
            mLevels.learn(key(0), levels(Map.of("s", 0.1)));
            offer(Duration.ofMillis(500), 10);
            mLevels.learn(key(0), levels(Map.of("s", 0.1)));
            offer(Duration.ofMillis(200), 1);
            assertThat(mLevels.fraction(key(0))).isGreaterThan(0.9);
        }

        private void offer(Duration time, int perMillisecond) {
            for (int i = 0; i < time.toMillis() * perMillisecond; i++) {
                if (i % perMillisecond == 0) {
                    mTime.advance(Duration.ofMillis(1));
                }
                mLevels.admit(key(0), 0.5);
            }
        }

        private static List<ServiceLevel> levels(Map<String, Double> fractions) {
            return fractions.entrySet().stream()
                    .map(e -> new ServiceLevel(e.getKey(), WorkClass.NORMAL, e.getValue()))
                    .toList();
        }

        private static ChainKey key(int i) {
            return new ChainKey("s", "GET /" + i, "a", WorkClass.NORMAL);
        }
    }
}
