package io.azurestage.config;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/** Arbitrary configurations that pass validation. */
final class Configs {
    private Configs() {}

    static Arbitrary<MeshConfig> valid() {
        Arbitrary<String> names =
                Arbitraries.strings().withChars("abc012").ofMinLength(1).ofMaxLength(4);
        Arbitrary<List<Partner>> partners =
                Arbitraries.integers()
                        .between(1, 20)
                        .list()
                        .ofMinSize(1)
                        .ofMaxSize(5)
                        .map(
                                shares ->
                                        shares.stream()
                                                .map(s -> partner("p" + s, s, shares.size()))
                                                .toList());
        Arbitrary<List<ServiceSpec>> services =
                Combinators.combine(
                                names,
                                operations().list().uniqueElements(Configs::key).ofMaxSize(4))
                        .as(ServiceSpec::new)
                        .list()
                        .ofMinSize(1)
                        .ofMaxSize(3);
        return Combinators.combine(partners, services, Arbitraries.integers().between(0, 10))
                .as(Configs::config);
    }

    private static MeshConfig config(
            List<Partner> partners, List<ServiceSpec> services, int retryAllowance) {
        SortedMap<String, Partner> p = new TreeMap<>();
        partners.forEach(x -> p.put(x.name(), x));
        SortedMap<String, ServiceSpec> s = new TreeMap<>();
        services.forEach(x -> s.put(x.name(), x));
        return new MeshConfig(p, s, retryAllowance);
    }

    private static Partner partner(String name, int share, int priority) {
        return new PartnerBuilder(name)
                .share(share)
                .floor(1 + share / 2)
                .priority(priority)
                .credential(name + priority)
                .build();
    }

    private static Arbitrary<Operation> operations() {
        return Combinators.combine(
                        Arbitraries.of("GET", "POST", "DELETE"),
                        Arbitraries.of("/", "/a", "/a/b", "/%C3%A9"),
                        Arbitraries.of(WorkClass.class),
                        Arbitraries.of(true, false))
                .as(Operation::new);
    }

    private static String key(Operation o) {
        return o.method() + o.pathPrefix();
    }
}
