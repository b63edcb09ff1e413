package io.azurestage.core.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.azurestage.config.Azurestage;
import io.azurestage.config.MeshConfig;
import io.azurestage.config.WorkClass;
import io.azurestage.core.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;

class AdmissionControllerTest {
    private static final MeshConfig SHARES =
            Azurestage.config()
                    .partner("a", p -> p.share(50).floor(20))
                    .partner("b", p -> p.share(50).floor(20))
                    .build();

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final List<Loan> mLoanChanges = new ArrayList<>();
    private AdmissionController mController = newController(10);
    private final List<Recorder> mOffered = new ArrayList<>();
    private final List<Recorder> mRunning = new ArrayList<>();

    /** Records the decisions on one request and checks the other requests at that time. */
    private final class Recorder implements AdmissionListener {
        private AdmissionRequest mWork;
        private int mRuns;
        private final List<RefusalReason> mRefusals = new ArrayList<>();
        private boolean mOvertaken;

        @Override
        public void onAdmitted() {
            mRuns++;
            mRunning.add(this);
            for (Recorder r : mOffered) {
                r.mOvertaken |=
                        r.isWaiting() && mWork.workClass().compareTo(r.mWork.workClass()) > 0;
            }
        }

        @Override
        public void onRefused(RefusalReason reason, Duration retryAfter) {
            mRefusals.add(reason);
            assertThat(retryAfter).isPositive();
            boolean shed = reason != RefusalReason.DEADLINE_EXCEEDED;
            if (shed && mWork.workClass() == WorkClass.CRITICAL) {
                assertThat(mOffered)
                        .noneMatch(r -> r.isWaiting() && r.mWork.workClass() != WorkClass.CRITICAL);
            }
        }

        private boolean isWaiting() {
            return mRuns + mRefusals.size() == 0;
        }
    }

    @Group
    class Invariants {
        // Guards against critical work being shed or overtaken while lower classes are served,
        // against missing or repeated decisions, and against more running requests than slots.
        @Property(seed = "31", tries = 200)
        void requestsAreDecidedOnceAndCriticalWorkFirst(@ForAll long randomSeed) {
            mController = newController(10);
            mOffered.clear();
            mRunning.clear();
            Random random = new Random(randomSeed);
            for (int i = 0; i < 600; i++) {
                step(random);
                assertThat(mController.inFlight()).isEqualTo(mRunning.size());
                assertThat(mController.inFlight()).isLessThanOrEqualTo(10);
            }
            mTime.advance(Duration.ofSeconds(10));
            mController.tick();
            assertThat(mOffered)
                    .allMatch(r -> r.mRuns + r.mRefusals.size() == 1)
                    .noneMatch(r -> r.mOvertaken);
        }

        private void step(Random random) {
            mTime.advance(Duration.ofNanos(random.nextInt(10_000_000)));
            if (random.nextInt(4) == 0 && !mRunning.isEmpty()) {
                complete(random.nextInt(mRunning.size()), 20);
            } else if (random.nextInt(10) == 0) {
                mController.tick();
            } else {
                WorkClass c = WorkClass.values()[random.nextInt(3)];
                String partner = List.of("a", "b", "unknown").get(random.nextInt(3));
                offer(partner, c, random.nextDouble(), 50 + random.nextInt(2000));
            }
        }
    }

    @Group
    class Overload {
        // Guards against a full queue that refuses a critical arrival instead of browsing work.
        @Example
        void criticalArrivalDisplacesBrowsing() {
            fill("a", WorkClass.BROWSING);
            Recorder critical = offer("b", WorkClass.CRITICAL, 0.999, 1000);
            assertThat(critical.mRefusals).isEmpty();
            complete(0, 20);
            assertThat(critical.mRuns).isEqualTo(1);
        }

        // Guards against the services along a chain shedding different requests of a class.
        @Example
        void highestRankIsShedFirst() {
            fill("a", WorkClass.NORMAL);
            List<Recorder> shed = mOffered.stream().filter(r -> !r.mRefusals.isEmpty()).toList();
            List<Recorder> kept = mOffered.stream().filter(Recorder::isWaiting).toList();
            assertThat(kept)
                    .isNotEmpty()
                    .allMatch(k -> shed.stream().allMatch(s -> s.mWork.rank() > k.mWork.rank()));
        }

        // Guards against admitting work that cannot complete before its deadline.
        @Example
        void workThatCannotMeetItsDeadlineIsRefused() {
            learnServiceTime(50);
            Recorder late = offer("a", WorkClass.CRITICAL, 0.1, 40);
            assertThat(late.mRefusals).containsExactly(RefusalReason.DEADLINE_EXCEEDED);
            assertThat(offer("a", WorkClass.CRITICAL, 0.1, 60).mRuns).isEqualTo(1);
        }

        // Guards against a service time estimate that causes all work to be refused, so that no
        // completion ever corrects it.
        @Example
        void estimateThatRefusesAllWorkExpires() {
            learnServiceTime(500);
            advance(1100);
            assertThat(offer("a", WorkClass.CRITICAL, 0.1, 400).mRuns).isEqualTo(1);
        }

        // Guards against refusing a class permanently after a few slow responses, while the server
        // stays busy with another class.
        @Example
        void estimateThatRefusesOneClassExpires() {
            for (int i = 0; i < 5; i++) {
                offer("a", WorkClass.NORMAL, 0.5, 5000);
                complete(0, 900);
            }
            for (int i = 0; i < 30; i++) {
                learnServiceTime(10);
            }
            assertThat(offer("a", WorkClass.NORMAL, 0.1, 400).mRuns).isEqualTo(1);
        }

        @Example
        void completingTwiceThrows() {
            Recorder r = offer("a", WorkClass.NORMAL, 0.5, 1000);
            complete(0, 1);
            assertThatThrownBy(() -> mController.complete(r.mWork, answered(1)))
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }

    @Group
    class Lending {
        // Guards against a lender being queued behind the work of the borrower.
        @Example
        void lenderGetsTheNextFreeSlot() {
            fill("a", WorkClass.NORMAL);
            Recorder lender = offer("b", WorkClass.NORMAL, 0.9, 1000);
            assertThat(lender.mRuns).isZero();
            complete(0, 20);
            assertThat(lender.mRuns).isEqualTo(1);
        }

        // Guards against lending a floor whose partner was active within the last 10 s.
        @Example
        void floorOfAnActivePartnerIsReservedForTenSeconds() {
            offer("b", WorkClass.NORMAL, 0.5, 1000);
            complete(0, 20);
            fill("a", WorkClass.NORMAL);
            assertThat(mController.inFlight()).isEqualTo(8);
            assertThat(offer("b", WorkClass.NORMAL, 0.9, 1000).mRuns).isEqualTo(1);
            complete(mRunning.size() - 1, 20);
            mTime.advance(Duration.ofMillis(10_001));
            fill("a", WorkClass.NORMAL);
            assertThat(mController.inFlight()).isEqualTo(10);
        }

        // Guards against a floor reserved for browsing that blocks critical work of another
        // partner.
        @Example
        void floorForBrowsingDoesNotBlockCriticalWork() {
            offer("b", WorkClass.BROWSING, 0.5, 1000);
            complete(0, 20);
            fill("a", WorkClass.CRITICAL);
            assertThat(mController.inFlight()).isEqualTo(10);
        }

        // Guards against loans that start or end without being reported.
        @Example
        void loansAreReportedFromStartToEnd() {
            fill("a", WorkClass.NORMAL);
            advance(1500);
            assertThat(mController.loans())
                    .containsExactly(new Loan("b", "a", WorkClass.NORMAL, 5))
                    .isEqualTo(List.of(mLoanChanges.get(mLoanChanges.size() - 1)));
            while (!mRunning.isEmpty()) {
                complete(0, 20);
            }
            advance(1000);
            assertThat(mController.loans()).isEmpty();
            assertThat(mLoanChanges.get(mLoanChanges.size() - 1))
                    .isEqualTo(new Loan("b", "a", WorkClass.NORMAL, 0));
        }
    }

    @Group
    class Pressed {
        @Example
        void isPressedFromHalfOfTheSlots() {
            mController = newController(4);
            offer("a", WorkClass.NORMAL, 0.5, 5000);
            assertThat(mController.isPressed()).isFalse();
            offer("a", WorkClass.NORMAL, 0.5, 5000);
            assertThat(mController.isPressed()).isTrue();
            complete(0, 10);
            assertThat(mController.isPressed()).isFalse();
        }
    }

    private AdmissionController newController(int slots) {
        LoanListener loans =
                (lender, borrower, workClass, lentSlots) ->
                        mLoanChanges.add(new Loan(lender, borrower, workClass, lentSlots));
        AdmissionController c = new AdmissionController(slots, mTime, loans);
        c.configure(SHARES);
        return c;
    }

    private Recorder offer(String partner, WorkClass c, double rank, int deadlineMillis) {
        Recorder r = new Recorder();
        long deadline = mTime.nanos() + Duration.ofMillis(deadlineMillis).toNanos();
        r.mWork = new AdmissionRequest(partner, c, rank, deadline, 1, false, r);
        mOffered.add(r);
        mController.offer(r.mWork);
        return r;
    }

    private void fill(String partner, WorkClass c) {
        for (int i = 0; i < 100; i++) {
            offer(partner, c, (i * 37 % 100) / 100.0, 5000);
        }
    }

    private void complete(int index, long millis) {
        mController.complete(mRunning.remove(index).mWork, answered(millis));
    }

    private void learnServiceTime(long millis) {
        for (int i = 0; i < 10; i++) {
            offer("a", WorkClass.CRITICAL, 0.5, 5000);
            complete(0, millis);
        }
        advance(100);
    }

    private void advance(int millis) {
        for (int i = 0; i < millis; i += 10) {
            mTime.advance(Duration.ofMillis(10));
            mController.tick();
        }
    }

    private static Completion answered(long millis) {
        long nanos = Duration.ofMillis(millis).toNanos();
        return new Completion(nanos, nanos, Completion.Outcome.ANSWERED);
    }
}
