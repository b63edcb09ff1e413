package io.azurestage.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Registry of the policies that experiments can run with. */
final class Policies {
    private static final List<Policy> ALL =
            List.of(DirectPolicy.NONE, DirectPolicy.PER_HOP, new AzurestagePolicy());

    private Policies() {}

    /**
     * Parses a comma-separated list of policy labels; null stands for all policies.
     *
     * @throws IllegalArgumentException if a label is unknown
     */
    static List<Policy> parse(String labels) {
        if (labels == null) {
            return ALL;
        }
        List<Policy> policies = new ArrayList<>();
        for (String label : labels.split(",")) {
            policies.add(
                    ALL.stream()
                            .filter(policy -> policy.label().equals(label))
                            .findFirst()
                            .orElseThrow(() -> unknown(label)));
        }
        return policies;
    }

    private static IllegalArgumentException unknown(String label) {
        String known = ALL.stream().map(Policy::label).collect(Collectors.joining(", "));
        return new IllegalArgumentException(
                "unknown policy " + label + "; known policies: " + known);
    }
}
