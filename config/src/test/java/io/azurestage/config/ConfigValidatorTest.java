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

    static Stream<Arguments> invalidConfigs() {
        ConfigBuilder noPartner = Azurestage.config().service("s", s -> s);
        ConfigBuilder noService = Azurestage.config().partner("a", p -> p.share(1).credential("x"));
        return Stream.of(
                invalid(noPartner, "$.partners", "no partner"),
                invalid(noService, "$.services", "no service"),
                invalid(share("b", 41, 1), "$.partners", "add up to 101 %"),
                invalid(share("a", 0, 1), "$.partners.a.share", "share 0"),
                invalid(share("a", -3, 1), "$.partners.a.share", "share -3"),
                invalid(share("a", 101, 1), "$.partners.a.share", "share 101"),
                invalid(share("a", 60, 0), "$.partners.a.floor", "under 1"),
                invalid(share("a", 60, 61), "$.partners.a.floor", "over the share 60"),
                invalid(
                        valid().partner("a", p -> p.share(60).credential("x").priority(-1)),
                        "$.partners.a.priority",
                        "under 0"),
                invalid(
                        valid().partner("a", p -> p.share(60).credentialSha256("ABC")),
                        "$.partners.a.credentialSha256",
                        "hexadecimal"),
                invalid(
                        valid().partner("b", p -> p.share(40).credential("x")),
                        "$.partners.b.credentialSha256",
                        "that of partner a"),
                invalid(
                        valid().service("s", s -> s.normal("GET", "/").browsing("GET", "/")),
                        "$.services.s.operations[1]",
                        "twice"),
                invalid(
                        valid().service("s", s -> s.normal("GET", "orders")),
                        "$.services.s.operations[0].pathPrefix",
                        "slash"),
                invalid(
                        valid().service("s", s -> s.normal("get", "/")),
                        "$.services.s.operations[0].method",
                        "upper case"),
                invalid(
                        valid().service("s", s -> s.operation("GET", "/", null, true)),
                        "$.services.s.operations[0].workClass",
                        "no class"),
                invalid(valid().service("S 1", s -> s), "$.services.S 1", "not valid"),
                invalid(
                        valid().partner("é", p -> p.share(1).credential("z")),
                        "$.partners.é",
                        "not valid"),
                invalid(valid().retryAllowance(11), "$.retryAllowance", "out of 0..10"),
                invalid(valid().retryAllowance(-1), "$.retryAllowance", "out of 0..10"),
                invalid(
                        valid().service("s", s -> s.normal("GET", "/" + "x".repeat(1_000_000))),
                        "$",
                        "the limit is 990000"));
    }

    private static ConfigBuilder share(String partner, int share, int floor) {
        return valid().partner(partner, p -> p.share(share).floor(floor).credential(partner));
    }

    private static Arguments invalid(ConfigBuilder config, String path, String message) {
        return Arguments.of(config.build(), path, message);
    }

    // Guards against a configuration that is accepted although nodes would reject or misinterpret
    // it.
    @ParameterizedTest
    @MethodSource("invalidConfigs")
    void problemNamesThePathAndTheRemedy(MeshConfig config, String path, String message) {
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
        void namesThePathAndWhatIsExpected(
                String original, String replacement, String path, String message) {
            String text = mJson.replace(original, replacement == null ? "" : replacement);
            assertThat(text).isNotEqualTo(mJson);
            assertThatExceptionOfType(ConfigException.class)
                    .isThrownBy(() -> Azurestage.parse(text))
                    .satisfies(e -> assertThat(e.path()).isEqualTo(path))
                    .withMessageContaining(message);
        }

        @ParameterizedTest
        @CsvSource({"''", "[]", "7", "null"})
        void rejectsTextThatIsNotAnObject(String text) {
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
