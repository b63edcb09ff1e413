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
import net.jqwik.api.Property;

class TicketRegistryTest {
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final TicketIssuer mIssuer =
            new TicketIssuer(mTime, new Random(1), TicketIssuer.DEFAULT_WINDOW);
    private final NodeIdentity mSelf = new NodeIdentity("node-a", 1);
    private final TicketRegistry mRegistry = new TicketRegistry(mSelf, 4, 4_000, mTime);

    // Guards against a second run, against a run after the request was reported as not run, and
    // against leaks, under clock steps, restarts, duplicates, full registries and tickets sent to
    // the wrong node.
    @Property(seed = "21", tries = 3000)
    void runsAtMostOnceAndNeverAfterBeingReportedAsNotRun(
            @ForAll long seed, @ForAll boolean clockSteps) {
        new Model(seed, clockSteps).runAndExpire();
    }

    // Guards against a test model in which some result of a claim never occurs.
    @Example
    void modelCoversEveryClaimResult() {
        Set<Class<?>> claimTypes = new HashSet<>();
        for (int seed = 0; seed < 50; seed++) {
            Model m = new Model(seed, true);
            m.runAndExpire();
            claimTypes.addAll(m.mClaimTypes);
        }
        assertThat(claimTypes).containsExactlyInAnyOrder(Claim.class.getPermittedSubclasses());
    }

    // Guards against a duplicate that waits forever, gets another answer, or runs because the
    // answer was too large to store.
    @Example
    void duplicatesReceiveTheAnswerOfTheRequestInProgress() {
        for (int size : new int[] {10, 4_001}) {
            Ticket t = mIssuer.issue(mSelf, "desk", "house");
            StoredAnswer a = answer(size);
            List<Optional<StoredAnswer>> received = new ArrayList<>();
            assertThat(mRegistry.claim(t, 7, received::add)).isEqualTo(new Claim.First());
            assertThat(mRegistry.claim(t, 7, received::add)).isEqualTo(new Claim.InProgress());
            assertThat(mRegistry.claim(t, 8, received::add)).isEqualTo(new Claim.Mismatch());
            mRegistry.complete(t, Optional.of(a));
            mRegistry.complete(t, Optional.of(answer(11)));
            assertThat(received).containsExactly(Optional.of(a));
            Claim c = mRegistry.claim(t, 7, received::add);
            assertThat(c.equals(new Claim.Done(a))).isEqualTo(size == 10);
            assertThat(c instanceof Claim.Unknown).isEqualTo(size > 10);
            assertThat(mRegistry.seal(t)).isFalse();
        }
    }

    // Guards against answers that are not stored because larger ones took up the reserved memory.
    @Property(seed = "23", tries = 300)
    void answerOfTheReservedSizeIsAlwaysStored(@ForAll long seed) {
        Random random = new Random(seed);
        TicketRegistry r = new TicketRegistry(mSelf, 4, 4_000, mTime);
        for (int i = 0; i < 6; i++) {
            Ticket t = mIssuer.issue(mSelf, "desk", "house");
            if (r.claim(t, 7, a -> {}) instanceof Claim.First) {
                int size = random.nextInt(3_000);
                r.complete(t, Optional.of(answer(size)));
                assertThat(r.storedBytes()).isLessThanOrEqualTo(4_000);
                assertThat(r.claim(t, 7, a -> {}) instanceof Claim.Done || size > 900).isTrue();
            }
        }
    }

    // Guards against equal fingerprints of requests that divide the same bytes differently between
    // method, path and body.
    @Example
    void fingerprintsDistinguishMethodPathAndBody() {
        assertThat(Fingerprint.of("POST", "/a", new byte[] {'b'}))
                .isEqualTo(Fingerprint.of("POST", "/a", new byte[] {'b'}))
                .isNotEqualTo(Fingerprint.of("POST", "/ab", new byte[0]))
                .isNotEqualTo(Fingerprint.of("POST/", "a", new byte[] {'b'}));
    }

    private static StoredAnswer answer(int bytes) {
        return new StoredAnswer(200, Map.of(), new byte[bytes]);
    }

    /**
     * Models two nodes with separate clocks, a common pool of tickets, and the requests that ran.
     */
    private static final class Model {
        final Set<Class<?>> mClaimTypes = new HashSet<>();
        private final Random mRandom;
        private final boolean mClockSteps;
        private final ManualTimeSource[] mTimes = {new ManualTimeSource(), new ManualTimeSource()};
        private final TicketRegistry[] mNodes = new TicketRegistry[2];
        private final int[] mIncarnations = {1, 1};
        private final List<Ticket> mTickets = new ArrayList<>();
        private final List<Ticket> mRunning = new ArrayList<>();
        private final Set<Ticket> mRan = new HashSet<>();
        private final Set<Ticket> mNotRun = new HashSet<>();

        Model(long seed, boolean clockSteps) {
            mRandom = new Random(seed);
            mClockSteps = clockSteps;
            restart(0);
            restart(1);
        }

        void runAndExpire() {
            mTickets.add(issue(0, 0));
            for (int i = 0; i < 300; i++) {
                step(mRandom.nextInt(2));
                assertThat(mNodes[0].size()).isLessThanOrEqualTo(12);
            }
            while (!mRunning.isEmpty()) {
                endOne(mRandom.nextInt(2));
            }
            for (int node = 0; node < 2; node++) {
                mTimes[node].advance(TicketRegistry.DEFAULT_MAX_LIFE);
                assertThat(mNodes[node].size()).isZero();
                assertThat(mNodes[node].storedBytes()).isZero();
                for (int i = 0; i < 12 && !mClockSteps; i++) {
                    Claim c = mNodes[node].claim(issue(node, node), 1, a -> {});
                    assertThat(c).isEqualTo(i < 6 ? new Claim.First() : new Claim.Full());
                }
            }
        }

        private void step(int node) {
            switch (mRandom.nextInt(mClockSteps ? 40 : 38)) {
                case 0 -> restart(node);
                case 1, 2, 3, 4, 5, 6 -> mTickets.add(issue(node, mRandom.nextInt(2)));
                case 7, 8 -> mTimes[node].advance(Duration.ofSeconds(mRandom.nextInt(400)));
                case 9, 10 -> sealOne(node);
                case 11, 12, 13, 14, 15, 16 -> endOne(node);
                case 38, 39 -> {
                    Duration step = Duration.ofSeconds(mRandom.nextInt(-1500, 1500));
                    mTimes[node].stepWallClock(step);
                }
                default -> claimOne(node);
            }
        }

        private Ticket issue(int node, int owner) {
            return new TicketIssuer(mTimes[node], mRandom, Duration.ofMinutes(10))
                    .issue(identity(owner), "desk", "house");
        }

        private void claimOne(int node) {
            Ticket t = recentTicket();
            Claim c = mNodes[node].claim(t, mRandom.nextInt(8) == 0 ? 2 : 1, a -> {});
            mClaimTypes.add(c.getClass());
            if (c instanceof Claim.First) {
                assertThat(mRan.add(t)).as("first run").isTrue();
                assertThat(mNotRun).doesNotContain(t);
                mRunning.add(t);
            } else if (c instanceof Claim.Full || c instanceof Claim.Sealed) {
                assertThat(mRan).doesNotContain(t);
                mNotRun.add(t);
            }
        }

        private void sealOne(int node) {
            Ticket t = recentTicket();
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

        private Ticket recentTicket() {
            int n = mTickets.size();
            return mTickets.get(n - 1 - mRandom.nextInt(Math.min(n, 12)));
        }

        private NodeIdentity identity(int node) {
            return new NodeIdentity("node-" + node, mIncarnations[node]);
        }

        private void restart(int node) {
            mIncarnations[node]++;
            mRunning.removeIf(t -> t.owner().nodeId().equals("node-" + node));
            mNodes[node] = new TicketRegistry(identity(node), 6, 3_000, mTimes[node]);
        }
    }
}
