package io.azurestage.core.once;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class OnceRegistryTest {
    private static final NodeIdentity SELF = new NodeIdentity("node-a", 1);

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final TicketIssuer mIssuer =
            new TicketIssuer(mTime, new Random(1), TicketIssuer.DEFAULT_WINDOW);
    private final OnceRegistry mRegistry = new OnceRegistry(SELF, 4, 4_000, mTime);
    private final List<Optional<StoredAnswer>> mHeard = new ArrayList<>();

    @Group
    class AnyInterleaving {
        // Guards against a second run, and against a run after not-run, under clock steps,
        // restarts,
        // duplicates, full registries and tickets that reach the wrong node.
        @Property(seed = "21", tries = 3000)
        void runsAtMostOnceAndNeverAfterNotRun(@ForAll long seed, @ForAll boolean steps) {
            Model m = new Model(seed);
            for (int i = 0; i < 300; i++) {
                m.step(steps);
            }
        }

        // Guards against a property that passes because nothing ever runs.
        @Example
        void coversEveryOutcome() {
            Set<Class<?>> seen = new HashSet<>();
            for (int seed = 0; seed < 50; seed++) {
                Model m = new Model(seed);
                for (int i = 0; i < 300; i++) {
                    m.step(true);
                }
                seen.addAll(m.mSeen);
            }
            assertThat(seen).containsExactlyInAnyOrder(Claim.class.getPermittedSubclasses());
        }
    }

    @Group
    class Repeats {
        // Guards against a repeat that waits forever or gets another answer.
        @Example
        void hearTheAnswerOfTheRequestInProgressAndLaterTheStoredOne() {
            Ticket t = ticket();
            StoredAnswer a = answer(10);
            assertThat(claim(t, 7)).isEqualTo(new Claim.First());
            assertThat(claim(t, 7)).isEqualTo(new Claim.InProgress());
            assertThat(claim(t, 8)).isEqualTo(new Claim.Mismatch());
            mRegistry.complete(t, Optional.of(a));
            mRegistry.complete(t, Optional.of(answer(11)));
            assertThat(mHeard).containsExactly(Optional.of(a));
            assertThat(claim(t, 7)).isEqualTo(new Claim.Done(a));
            assertThat(mRegistry.seal(t)).isFalse();
        }

        // Guards against a run of a request whose answer was dropped for its size.
        @Example
        void ofAnAnswerTooLargeToKeepAreUnknown() {
            Ticket t = ticket();
            claim(t, 7);
            claim(t, 7);
            mRegistry.complete(t, Optional.of(answer(4_001)));
            assertThat(mHeard.get(0)).isPresent();
            assertThat(claim(t, 7)).isInstanceOf(Claim.Unknown.class);
        }

        // Guards against a ticket that the wall clock reopens after its entry was dropped.
        @Property(seed = "22", tries = 200)
        void afterExpiryAreUnknownWhereverTheWallClockSteps(
                @ForAll @IntRange(min = -3600, max = 3600) int before,
                @ForAll @IntRange(min = -3600, max = 3600) int after) {
            ManualTimeSource time = new ManualTimeSource();
            OnceRegistry r = new OnceRegistry(SELF, 4, 4_000, time);
            Ticket t =
                    new TicketIssuer(time, new Random(1), TicketIssuer.DEFAULT_WINDOW)
                            .issue(SELF, "desk", "house");
            r.claim(t, 7, a -> {});
            r.complete(t, Optional.of(answer(1)));
            time.stepWallClock(Duration.ofSeconds(before));
            time.advance(TicketIssuer.DEFAULT_WINDOW);
            time.stepWallClock(Duration.ofSeconds(after));
            assertThat(r.claim(t, 7, a -> {})).isInstanceOf(Claim.Unknown.class);
            assertThat(r.size()).isZero();
            assertThat(r.storedBytes()).isZero();
        }
    }

    @Group
    class WhenFull {
        // Guards against eviction, and against a late duplicate that runs once there is room.
        @Example
        void aRefusedTicketNeverRunsLater() {
            for (int i = 0; i < 4; i++) {
                assertThat(claim(ticket(), i)).isEqualTo(new Claim.First());
            }
            mTime.advance(Duration.ofMinutes(5));
            Ticket late = ticket();
            assertThat(claim(late, 7)).isEqualTo(new Claim.Full());
            mTime.advance(Duration.ofMinutes(4));
            assertThat(claim(late, 7)).isEqualTo(new Claim.Sealed());
        }

        // Guards against answers that are silently not kept because larger ones took their room.
        @Property(seed = "23", tries = 300)
        void anAnswerOfTheGuaranteedSizeIsAlwaysKept(@ForAll long seed) {
            Random random = new Random(seed);
            OnceRegistry r = new OnceRegistry(SELF, 4, 4_000, mTime);
            for (int i = 0; i < 6; i++) {
                Ticket t = ticket();
                if (r.claim(t, 7, a -> {}) instanceof Claim.First) {
                    int size = random.nextInt(3_000);
                    r.complete(t, Optional.of(answer(size)));
                    assertThat(r.storedBytes()).isLessThanOrEqualTo(4_000);
                    assertThat(r.claim(t, 7, a -> {}) instanceof Claim.Done || size > 900).isTrue();
                }
            }
        }
    }

    // Guards against parts that run into each other, such as a path that swallows the body.
    @Example
    void fingerprintsKeepPartsApart() {
        assertThat(Fingerprint.of("POST", "/a", new byte[] {'b'}))
                .isEqualTo(Fingerprint.of("POST", "/a", new byte[] {'b'}))
                .isNotEqualTo(Fingerprint.of("POST", "/ab", new byte[0]))
                .isNotEqualTo(Fingerprint.of("POST/", "a", new byte[] {'b'}));
    }

    private Ticket ticket() {
        return mIssuer.issue(SELF, "desk", "house");
    }

    private Claim claim(Ticket t, long fingerprint) {
        return mRegistry.claim(t, fingerprint, mHeard::add);
    }

    private static StoredAnswer answer(int bytes) {
        return new StoredAnswer(200, Map.of(), new byte[bytes]);
    }

    /** Two nodes with clocks of their own, one pool of tickets, and a record of what ran. */
    private static final class Model {
        final Set<Class<?>> mSeen = new HashSet<>();
        private final Random mRandom;
        private final ManualTimeSource[] mTimes = {new ManualTimeSource(), new ManualTimeSource()};
        private final OnceRegistry[] mNodes = new OnceRegistry[2];
        private final int[] mIncarnations = {1, 1};
        private final List<Ticket> mTickets = new ArrayList<>();
        private final List<Ticket> mRunning = new ArrayList<>();
        private final Set<Ticket> mRan = new HashSet<>();
        private final Set<Ticket> mNotRun = new HashSet<>();

        Model(long seed) {
            mRandom = new Random(seed);
            restart(0);
            restart(1);
        }

        void step(boolean clockSteps) {
            int node = mRandom.nextInt(2);
            switch (mRandom.nextInt(clockSteps ? 20 : 19)) {
                case 0, 1, 2 -> mTickets.add(issue(node));
                case 3 -> mTimes[node].advance(Duration.ofSeconds(mRandom.nextInt(400)));
                case 4 -> sealAny(node);
                case 5, 6, 7 -> endOne(node);
                case 8 -> {
                    if (mRandom.nextInt(8) == 0) {
                        restart(node);
                    }
                }
                case 19 ->
                        mTimes[node].stepWallClock(
                                Duration.ofSeconds(mRandom.nextInt(-1500, 1500)));
                default -> claimOne(node);
            }
        }

        private Ticket issue(int node) {
            int owner = mRandom.nextInt(2);
            return new TicketIssuer(mTimes[node], mRandom, Duration.ofMinutes(10))
                    .issue(identity(owner), "desk", "house");
        }

        private void claimOne(int node) {
            if (mTickets.isEmpty()) {
                return;
            }
            Ticket t = recent();
            Claim c = mNodes[node].claim(t, mRandom.nextInt(8) == 0 ? 2 : 1, a -> {});
            mSeen.add(c.getClass());
            if (c instanceof Claim.First) {
                assertThat(mRan.add(t)).as("first run").isTrue();
                assertThat(mNotRun).doesNotContain(t);
                mRunning.add(t);
            } else if (c instanceof Claim.Full || c instanceof Claim.Sealed) {
                assertThat(mRan).doesNotContain(t);
                mNotRun.add(t);
            }
        }

        private void sealAny(int node) {
            if (mTickets.isEmpty()) {
                return;
            }
            Ticket t = recent();
            if (!mRunning.contains(t) && mNodes[node].seal(t)) {
                assertThat(mRan).doesNotContain(t);
                mNotRun.add(t);
            }
        }

        private void endOne(int node) {
            if (mRunning.isEmpty()) {
                return;
            }
            Ticket t = mRunning.remove(mRandom.nextInt(mRunning.size()));
            if (!t.owner().equals(identity(node))) {
                mRunning.add(t);
            } else if (mRandom.nextBoolean()) {
                Optional<StoredAnswer> a = Optional.of(answer(mRandom.nextInt(900)));
                mNodes[node].complete(t, mRandom.nextInt(4) == 0 ? Optional.empty() : a);
            } else {
                assertThat(mNodes[node].seal(t)).isTrue();
                mRan.remove(t);
                mNotRun.add(t);
            }
        }

        private Ticket recent() {
            int n = mTickets.size();
            return mTickets.get(n - 1 - mRandom.nextInt(Math.min(n, 12)));
        }

        private NodeIdentity identity(int node) {
            return new NodeIdentity("node-" + node, mIncarnations[node]);
        }

        private void restart(int node) {
            mIncarnations[node]++;
            mRunning.removeIf(t -> t.owner().nodeId().equals("node-" + node));
            mNodes[node] = new OnceRegistry(identity(node), 6, 3_000, mTimes[node]);
        }
    }
}
