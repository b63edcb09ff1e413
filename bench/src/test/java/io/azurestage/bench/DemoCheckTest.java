package io.azurestage.bench;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.bench.standin.BackendSpec;
import io.azurestage.bench.standin.RequestKey;
import io.azurestage.bench.standin.ServiceTime;
import io.azurestage.bench.standin.StandInBackend;
import io.azurestage.bench.standin.StandInRuntime;
import io.azurestage.bench.standin.WorkLedger;
import io.azurestage.client.CallClass;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DemoCheckTest {
    private static final long MS = 1_000_000;
    private static final DemoCheck.Leaving CLEAN =
            new DemoCheck.Leaving(10_000 * MS, 12_000 * MS, 0, 900, 0);

    private static CallLog.Attempt attempt(
            CallClass workClass, long sentMillis, Verdict verdict, String detail) {
        return new CallLog.Attempt(
                "r" + sentMillis + ".0",
                "p",
                workClass,
                sentMillis * MS,
                (sentMillis + 10) * MS,
                new AttemptResult(verdict, detail));
    }

    private static DemoCheck.Observations seen(double capacity, DemoCheck.Leaving leaving) {
        return new DemoCheck.Observations(3, capacity, 300, 0, true, leaving);
    }

    private static DemoCheck check(CallLog.Attempt... attempts) {
        return new DemoCheck(List.of(attempts), new WorkLedger(), seen(100, CLEAN));
    }

    /** Guards against a check that reports a property which held. */
    @Test
    void reportsNothingWhenEverythingIsWhole() {
        DemoCheck check = check(attempt(CallClass.CRITICAL, 0, Verdict.WHOLE, ""));
        assertThat(check.broken()).isEmpty();
        assertThat(check.figures()).containsEntry("whole", 1L).containsEntry("partial", 0L);
    }

    /** Guards against a broken property that ends with exit code 0, one for each property. */
    @ParameterizedTest
    @CsvSource({
        "PARTIAL,'',P3 partial",
        "MISDELIVERED,'',P3 misdelivered",
        "UNKNOWN,connection lost,P7 cut off",
        "ERROR,status 500,P7 cut off"
    })
    void namesThePropertyThatAnEndingBreaks(Verdict verdict, String detail, String property) {
        DemoCheck check = check(attempt(CallClass.NORMAL, 11_000, verdict, detail));
        assertThat(check.broken()).singleElement().asString().startsWith(property);
    }

    /** Guards against faults beside the calls that are measured but not checked. */
    @ParameterizedTest
    @CsvSource({
        "300,0,true,0,3001,0,P6",
        "300,0,true,0,900,1,P7 cut off",
        "300,0,true,1,900,0,P7 leaving",
        "4001,0,true,0,900,0,P8 spread",
        "-1,0,true,0,900,0,P8 spread",
        "300,1,true,0,900,0,P8 reverts",
        "300,0,false,0,900,0,P8 outage"
    })
    void namesThePropertyThatTheMeshBreaks(
            long spread,
            int reverts,
            boolean held,
            int exit,
            long newWork,
            int inProgress,
            String property) {
        DemoCheck.Leaving leaving =
                new DemoCheck.Leaving(10_000 * MS, 12_000 * MS, exit, newWork, inProgress);
        DemoCheck.Observations seen =
                new DemoCheck.Observations(3, 100, spread, reverts, held, leaving);
        assertThat(new DemoCheck(List.of(), new WorkLedger(), seen).broken())
                .singleElement()
                .asString()
                .startsWith(property);
    }

    /** Guards against counts of shed work that miss refusals deeper in the chain. */
    @Test
    void countsRefusalsAtTheEntryAndDeeper() {
        Map<String, Object> figures =
                check(
                                attempt(CallClass.BROWSING, 0, Verdict.REFUSED, "overloaded"),
                                attempt(
                                        CallClass.BROWSING,
                                        1,
                                        Verdict.UNKNOWN,
                                        "dependency-failed"),
                                attempt(CallClass.BROWSING, 2, Verdict.UNKNOWN, "lost"))
                        .figures();
        assertThat(figures)
                .containsEntry("browsing_refused", 2L)
                .containsEntry("refused_not_run", 1L)
                .containsEntry("unknown", 2L);
    }

    /** Guards against properties that only the backend servers can see being passed over. */
    @Test
    void namesThePropertiesThatTheBackendServersSee() throws Exception {
        WorkLedger ledger = new WorkLedger();
        CallLog.Attempt refused =
                attempt(CallClass.CRITICAL, 20_000, Verdict.REFUSED, "overloaded");
        BackendSpec spec =
                new BackendSpec("a", 1, 1, ServiceTime.fixed(Duration.ZERO), List.of(), 1);
        try (StandInRuntime runtime = new StandInRuntime(1);
                StandInBackend backend = StandInBackend.start(spec, runtime, ledger)) {
            HttpRequest request =
                    HttpRequest.newBuilder(backend.address().resolve("/bookings"))
                            .header(RequestKey.KEY_HEADER, refused.key())
                            .header(RequestKey.CLASS_HEADER, "CRITICAL")
                            .build();
            HttpClient http = HttpClient.newHttpClient();
            http.send(request, HttpResponse.BodyHandlers.discarding());
            http.send(request, HttpResponse.BodyHandlers.discarding());
        }
        DemoCheck.Observations noRetries = new DemoCheck.Observations(0, 100, 300, 0, true, CLEAN);
        assertThat(new DemoCheck(List.of(refused), ledger, noRetries).broken())
                .extracting(message -> message.substring(0, 2))
                .containsExactlyInAnyOrder("P1", "P4", "P5");
    }

    @Nested
    class ClassOrder {
        private final CallLog.Attempt mShed =
                attempt(CallClass.CRITICAL, 1_000, Verdict.REFUSED, "overloaded");

        private long early(double capacity, CallLog.Attempt... attempts) {
            return new DemoCheck(List.of(attempts), new WorkLedger(), seen(capacity, CLEAN))
                    .criticalShedEarly(CallClass.BROWSING);
        }

        /** Guards against critical work that is refused beside browsing without a report. */
        @Test
        void countsARefusalBesideServedBrowsing() {
            assertThat(early(100, mShed, attempt(CallClass.BROWSING, 1_400, Verdict.WHOLE, "")))
                    .isEqualTo(1);
        }

        /** Guards against reports where critical work alone exceeds the capacity. */
        @Test
        void passesWhenCriticalDemandDoesNotFit() {
            assertThat(
                            early(
                                    1,
                                    mShed,
                                    attempt(CallClass.CRITICAL, 900, Verdict.WHOLE, ""),
                                    attempt(CallClass.BROWSING, 1_000, Verdict.WHOLE, "")))
                    .isZero();
        }

        /** Guards against reports about browsing that was refused, or served at another time. */
        @Test
        void passesWhenNoBrowsingIsServedAtThatTime() {
            assertThat(
                            early(
                                    100,
                                    mShed,
                                    attempt(CallClass.BROWSING, 1_000, Verdict.REFUSED, ""),
                                    attempt(CallClass.BROWSING, 1_600, Verdict.WHOLE, "")))
                    .isZero();
        }
    }
}
