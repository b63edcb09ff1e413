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
    private static final DemoCheck.Leaving CLEAN_SHUTDOWN =
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

    private static DemoCheck.Observations observations(double capacity, DemoCheck.Leaving leaving) {
        return new DemoCheck.Observations(3, capacity, 300, 0, true, leaving);
    }

    private static DemoCheck check(CallLog.Attempt... attempts) {
        return new DemoCheck(
                List.of(attempts), new WorkLedger(), observations(100, CLEAN_SHUTDOWN));
    }

    /** Guards against false reports of violated properties. */
    @Test
    void reportsNothingIfAllResponsesAreComplete() {
        DemoCheck check = check(attempt(CallClass.CRITICAL, 0, Verdict.WHOLE, ""));
        assertThat(check.violations()).isEmpty();
        assertThat(check.figures()).containsEntry("whole", 1L).containsEntry("partial", 0L);
    }

    /** Guards against a violated property that is not reported, which would give exit code 0. */
    @ParameterizedTest
    @CsvSource({
        "PARTIAL,'',P3 partial",
        "MISDELIVERED,'',P3 misdelivered",
        "UNKNOWN,connection lost,P7 cut off",
        "ERROR,status 500,P7 cut off"
    })
    void reportsThePropertyThatAResultViolates(Verdict verdict, String detail, String property) {
        DemoCheck check = check(attempt(CallClass.NORMAL, 11_000, verdict, detail));
        assertThat(check.violations()).singleElement().asString().startsWith(property);
    }

    /** Guards against faults outside the calls that are recorded but not checked. */
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
    void reportsThePropertyThatTheMeshViolates(
            long spread,
            int reverts,
            boolean held,
            int exit,
            long newWork,
            int inProgress,
            String property) {
        DemoCheck.Leaving leaving =
                new DemoCheck.Leaving(10_000 * MS, 12_000 * MS, exit, newWork, inProgress);
        DemoCheck.Observations observations =
                new DemoCheck.Observations(3, 100, spread, reverts, held, leaving);
        assertThat(new DemoCheck(List.of(), new WorkLedger(), observations).violations())
                .singleElement()
                .asString()
                .startsWith(property);
    }

    /** Guards against counts of shed requests that omit refusals further down the chain. */
    @Test
    void countsRefusalsAtTheEntryAndFurtherDown() {
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

    /** Guards against missing violations that only the backend servers can observe. */
    @Test
    void reportsViolationsThatBackendServersObserve() throws Exception {
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
        DemoCheck.Observations noRetries =
                new DemoCheck.Observations(0, 100, 300, 0, true, CLEAN_SHUTDOWN);
        assertThat(new DemoCheck(List.of(refused), ledger, noRetries).violations())
                .extracting(message -> message.substring(0, 2))
                .containsExactlyInAnyOrder("P1", "P4", "P5");
    }

    @Nested
    class ClassOrder {
        private final CallLog.Attempt mRefused =
                attempt(CallClass.CRITICAL, 1_000, Verdict.REFUSED, "overloaded");

        private long refusedEarly(double capacity, CallLog.Attempt... attempts) {
            return new DemoCheck(
                            List.of(attempts),
                            new WorkLedger(),
                            observations(capacity, CLEAN_SHUTDOWN))
                    .criticalShedEarly(CallClass.BROWSING);
        }

        /** Guards against missing a critical request that was refused while browsing was served. */
        @Test
        void countsRefusalWhileBrowsingIsServed() {
            assertThat(
                            refusedEarly(
                                    100,
                                    mRefused,
                                    attempt(CallClass.BROWSING, 1_400, Verdict.WHOLE, "")))
                    .isEqualTo(1);
        }

        /** Guards against false reports if critical requests alone exceed the capacity. */
        @Test
        void ignoresRefusalIfCriticalDemandExceedsCapacity() {
            assertThat(
                            refusedEarly(
                                    1,
                                    mRefused,
                                    attempt(CallClass.CRITICAL, 900, Verdict.WHOLE, ""),
                                    attempt(CallClass.BROWSING, 1_000, Verdict.WHOLE, "")))
                    .isZero();
        }

        /** Guards against false reports if browsing was refused too, or served at another time. */
        @Test
        void ignoresRefusalIfNoBrowsingIsServedAtThatTime() {
            assertThat(
                            refusedEarly(
                                    100,
                                    mRefused,
                                    attempt(CallClass.BROWSING, 1_000, Verdict.REFUSED, ""),
                                    attempt(CallClass.BROWSING, 1_600, Verdict.WHOLE, "")))
                    .isZero();
        }
    }
}
