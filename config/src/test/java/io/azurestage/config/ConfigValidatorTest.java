package io.azurestage.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class ConfigValidatorTest {

    private static ConfigBuilder valid() {
        return Azurestage.config()
                .partner("a", p -> p.share(60).floor(10).credential("x"))
                .partner("b", p -> p.share(40).credential("y"))
                .service("s", s -> s.critical("POST", "/bookings"));
    }

    static Stream<Arguments> faults() {
        ConfigBuilder noPartner = Azurestage.config().service("s", s -> s);
        ConfigBuilder noService = Azurestage.config().partner("a", p -> p.share(1).credential("x"));
        return Stream.of(
                fault(noPartner, "$.partners", "no partner"),
                fault(noService, "$.services", "no service"),
                fault(share("b", 41, 1), "$.partners", "add up to 101 %"),
                fault(share("a", 0, 1), "$.partners.a.share", "share 0"),
                fault(share("a", -3, 1), "$.partners.a.share", "share -3"),
                fault(share("a", 101, 1), "$.partners.a.share", "share 101"),
                fault(share("a", 60, 0), "$.partners.a.floor", "under 1"),
                fault(share("a", 60, 61), "$.partners.a.floor", "over the share 60"),
                fault(
                        valid().partner("a", p -> p.share(60).credential("x").priority(-1)),
                        "$.partners.a.priority",
                        "under 0"),
                fault(
                        valid().partner("a", p -> p.share(60).credentialSha256("ABC")),
                        "$.partners.a.credentialSha256",
                        "hexadecimal"),
                fault(
                        valid().partner("b", p -> p.share(40).credential("x")),
                        "$.partners.b.credentialSha256",
                        "that of partner a"),
                fault(
                        valid().service("s", s -> s.normal("GET", "/").browsing("GET", "/")),
                        "$.services.s.operations[1]",
                        "twice"),
                fault(
                        valid().service("s", s -> s.normal("GET", "orders")),
                        "$.services.s.operations[0].pathPrefix",
                        "slash"),
                fault(
                        valid().service("s", s -> s.normal("get", "/")),
                        "$.services.s.operations[0].method",
                        "upper case"),
                fault(
                        valid().service("s", s -> s.operation("GET", "/", null, true)),
                        "$.services.s.operations[0].workClass",
                        "no class"),
                fault(valid().service("S 1", s -> s), "$.services.S 1", "not valid"),
                fault(
                        valid().partner("é", p -> p.share(1).credential("z")),
                        "$.partners.é",
                        "not valid"),
                fault(valid().retryAllowance(11), "$.retryAllowance", "out of 0..10"),
                fault(valid().retryAllowance(-1), "$.retryAllowance", "out of 0..10"),
                fault(
                        valid().service("s", s -> s.normal("GET", "/" + "x".repeat(1_000_000))),
                        "$",
                        "the limit is 990000"));
    }

    private static ConfigBuilder share(String partner, int share, int floor) {
        return valid().partner(partner, p -> p.share(share).floor(floor).credential(partner));
    }

    private static Arguments fault(ConfigBuilder config, String path, String message) {
        return Arguments.of(config.build(), path, message);
    }

    // Guards against a configuration that nodes would refuse or misread after it was accepted.
    @ParameterizedTest
    @MethodSource("faults")
    void namesThePathAndTheRemedy(MeshConfig config, String path, String message) {
        assertThat(Azurestage.check(config))
                .anySatisfy(
                        p -> {
                            assertThat(p.path()).isEqualTo(path);
                            assertThat(p.message()).contains(message);
                            assertThat(p.remedy()).isNotEmpty();
                        });
    }

    @Test
    void accepts100PercentInSum() {
        assertThat(Azurestage.check(valid().build())).isEmpty();
    }

    @Nested
    class Parsing {
        private final String mJson = valid().build().toJson();

        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                value = {
                    "\"share\" : 60|\"share\" : \"60\"|$.partners.a.share|expected an integer",
                    "\"share\" : 60|\"share\" : 60.5|$.partners.a.share|expected an integer",
                    "\"share\" : 60|\"share\" : 99999999999|$.partners.a.share|expected an integer",
                    "\"share\" : 60|\"sahre\" : 60|$.partners.a.sahre|unknown field",
                    "\"share\" : 60,||$.partners.a.share|missing",
                    "\"critical\"|\"urgent\"|$.services.s.operations[0].workClass|'urgent'",
                    "\"idempotent\" : false|\"idempotent\" : 0|"
                            + "$.services.s.operations[0].idempotent|true or false",
                    "\"b\" : {|\"a\" : {|$|Duplicate field 'a'",
                    "\"retryAllowance\" : 3|\"retryAllowance\" : 3}{|$|line",
                    "\"services\" : {|\"services\" : [|$|line"
                })
        void namesThePathAndWhatIsExpected(String old, String now, String path, String message) {
            String text = mJson.replace(old, now == null ? "" : now);
            assertThat(text).isNotEqualTo(mJson);
            assertThatExceptionOfType(ConfigException.class)
                    .isThrownBy(() -> Azurestage.parse(text))
                    .satisfies(e -> assertThat(e.path()).isEqualTo(path))
                    .withMessageContaining(message);
        }

        @ParameterizedTest
        @CsvSource({"''", "[]", "7", "null"})
        void refusesWhatIsNotAnObject(String text) {
            assertThatExceptionOfType(ConfigException.class)
                    .isThrownBy(() -> Azurestage.parse(text))
                    .withMessageContaining("a JSON object");
        }
    }

    @Test
    void differenceIsReadable() {
        MeshConfig before = valid().build();
        MeshConfig after =
                valid().partner("a", p -> p.share(50).floor(10).credential("z"))
                        .partner("c", p -> p.share(10).credential("c"))
                        .service(
                                "s",
                                s ->
                                        s.operation("POST", "/bookings", WorkClass.NORMAL, false)
                                                .browsing("GET", "/"))
                        .retryAllowance(2)
                        .build();
        assertThat(ConfigDiff.between(before, after).lines())
                .containsExactly(
                        "partner a: share 60 -> 50",
                        "partner a: credential changed",
                        "partner c: added (share 10, floor 1, priority 0)",
                        "service s: POST /bookings: class critical -> normal",
                        "service s: GET / (browsing, idempotent): added",
                        "retry allowance 3 -> 2");
    }
}
