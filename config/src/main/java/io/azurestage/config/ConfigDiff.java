package io.azurestage.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Difference between two configurations as readable lines, such as {@code partner hire-house: share
 * 60 -> 50}. It has no lines if and only if the two are equal.
 *
 * @param lines lines in the order of the document
 */
public record ConfigDiff(List<String> lines) {

    /** Copies the list, so that the record is immutable. */
    public ConfigDiff {
        lines = List.copyOf(lines);
    }

    /**
     * Compares two configurations.
     *
     * @param before the older one
     * @param after the newer one
     * @return the difference
     */
    public static ConfigDiff between(MeshConfig before, MeshConfig after) {
        List<String> lines = new ArrayList<>();
        for (String name : union(before.partners(), after.partners())) {
            diffPartner(
                    "partner " + name + ": ",
                    before.partners().get(name),
                    after.partners().get(name),
                    lines);
        }
        for (String name : union(before.services(), after.services())) {
            diffService(
                    "service " + name + ": ",
                    before.services().get(name),
                    after.services().get(name),
                    lines);
        }
        diffValue("", "retry allowance", before.retryAllowance(), after.retryAllowance(), lines);
        return new ConfigDiff(lines);
    }

    /**
     * Reports whether the two configurations are equal.
     *
     * @return true if there are no lines
     */
    public boolean isEmpty() {
        return lines.isEmpty();
    }

    private static Iterable<String> union(Map<String, ?> a, Map<String, ?> b) {
        TreeSet<String> names = new TreeSet<>(a.keySet());
        names.addAll(b.keySet());
        return names;
    }

    private static void diffPartner(
            String prefix, Partner before, Partner after, List<String> lines) {
        if (before == null) {
            lines.add(
                    prefix
                            + "added (share "
                            + after.share()
                            + ", floor "
                            + after.floor()
                            + ", priority "
                            + after.priority()
                            + ")");
            return;
        }
        if (after == null) {
            lines.add(prefix + "removed");
            return;
        }
        diffValue(prefix, "share", before.share(), after.share(), lines);
        diffValue(prefix, "floor", before.floor(), after.floor(), lines);
        diffValue(prefix, "priority", before.priority(), after.priority(), lines);
        if (!before.credentialSha256().equals(after.credentialSha256())) {
            lines.add(prefix + "credential changed");
        }
    }

    private static void diffService(
            String prefix, ServiceSpec before, ServiceSpec after, List<String> lines) {
        if (before == null) {
            lines.add(prefix + "added");
            after.operations().forEach(o -> lines.add(prefix + describe(o) + ": added"));
            return;
        }
        if (after == null) {
            lines.add(prefix + "removed");
            return;
        }
        if (before.equals(after)) {
            return;
        }
        int start = lines.size();
        Map<String, Operation> operationsBefore = byKey(before);
        Map<String, Operation> operationsAfter = byKey(after);
        operationsBefore.forEach(
                (key, o) -> diffOperation(prefix, o, operationsAfter.get(key), lines));
        operationsAfter.forEach(
                (key, o) -> {
                    if (!operationsBefore.containsKey(key)) {
                        lines.add(prefix + describe(o) + ": added");
                    }
                });
        if (lines.size() == start) {
            lines.add(prefix + "operations in another order");
        }
    }

    private static void diffOperation(
            String prefix, Operation before, Operation after, List<String> lines) {
        String key = before.method() + " " + before.pathPrefix();
        if (after == null) {
            lines.add(prefix + key + ": removed");
            return;
        }
        diffValue(
                prefix + key + ": ",
                "class",
                ConfigJson.jsonName(before.workClass()),
                ConfigJson.jsonName(after.workClass()),
                lines);
        diffValue(
                prefix + key + ": ", "idempotent", before.idempotent(), after.idempotent(), lines);
    }

    private static Map<String, Operation> byKey(ServiceSpec s) {
        Map<String, Operation> all = new LinkedHashMap<>();
        s.operations().forEach(o -> all.put(o.method() + " " + o.pathPrefix(), o));
        return all;
    }

    private static String describe(Operation o) {
        return o.method()
                + " "
                + o.pathPrefix()
                + " ("
                + ConfigJson.jsonName(o.workClass())
                + (o.idempotent() ? ", idempotent)" : ")");
    }

    private static void diffValue(
            String prefix, String name, Object before, Object after, List<String> lines) {
        if (!before.equals(after)) {
            lines.add(prefix + name + " " + before + " -> " + after);
        }
    }
}
