package io.azurestage.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** The policies that experiments can run with. */
final class Policies {
    private static final List<Policy> ALL =
            List.of(DirectPolicy.NONE, DirectPolicy.PER_HOP, new AzurestagePolicy());

    private Policies() {}

    /** Returns the policies of a comma-separated list, or all of them if it is null. */
    static List<Policy> parse(String names) {
        if (names == null) {
            return ALL;
        }
        List<Policy> policies = new ArrayList<>();
        for (String name : names.split(",")) {
            policies.add(
                    ALL.stream()
                            .filter(policy -> policy.label().equals(name))
                            .findFirst()
                            .orElseThrow(() -> unknown(name)));
        }
        return policies;
    }

    private static IllegalArgumentException unknown(String name) {
        String known = ALL.stream().map(Policy::label).collect(Collectors.joining(", "));
        return new IllegalArgumentException(
                "unknown policy " + name + "; known policies: " + known);
    }
}
