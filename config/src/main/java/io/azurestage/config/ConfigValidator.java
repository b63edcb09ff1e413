package io.azurestage.config;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Collects the problems of one configuration. */
final class ConfigValidator {
    static final int MAX_PERCENT = 100;
    static final int MAX_RETRY_ALLOWANCE = 10;

    /** The store holds 1 MB; the rest is for the fields around the document. */
    static final int MAX_DOCUMENT_BYTES = 990_000;

    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}");
    private static final Pattern PATH = Pattern.compile("/[!-~&&[^?#]]*");

    private final List<ConfigProblem> mProblems = new ArrayList<>();

    List<ConfigProblem> check(MeshConfig c) {
        partners(c);
        services(c);
        if (c.retryAllowance() < 0 || c.retryAllowance() > MAX_RETRY_ALLOWANCE) {
            add(
                    "$.retryAllowance",
                    "retry allowance "
                            + c.retryAllowance()
                            + " is out of 0.."
                            + MAX_RETRY_ALLOWANCE,
                    "set it within this range");
        }
        if (mProblems.isEmpty()) {
            size(c);
        }
        return List.copyOf(mProblems);
    }

    private void partners(MeshConfig c) {
        if (c.partners().isEmpty()) {
            add("$.partners", "there is no partner", "add at least one partner");
        }
        int sum = 0;
        Map<String, String> credentials = new HashMap<>();
        for (Partner p : c.partners().values()) {
            partner(p, "$.partners." + p.name());
            sum += Math.max(0, Math.min(p.share(), MAX_PERCENT));
            String other = credentials.putIfAbsent(p.credentialSha256(), p.name());
            if (other != null && SHA256.matcher(p.credentialSha256()).matches()) {
                add(
                        "$.partners." + p.name() + ".credentialSha256",
                        "the credential is that of partner " + other,
                        "give every partner a credential of its own");
            }
        }
        if (sum > MAX_PERCENT) {
            add(
                    "$.partners",
                    "the shares add up to " + sum + " %",
                    "lower them to at most " + MAX_PERCENT + " % in sum");
        }
    }

    private void partner(Partner p, String path) {
        name(p.name(), path);
        if (p.share() <= 0 || p.share() > MAX_PERCENT) {
            add(
                    path + ".share",
                    "share " + p.share() + " is out of 1.." + MAX_PERCENT,
                    "set a share over 0 and at most " + MAX_PERCENT);
        }
        if (p.floor() < 1) {
            add(path + ".floor", "floor " + p.floor() + " is under 1", "set it to 1 or more");
        }
        if (p.floor() > p.share()) {
            add(
                    path + ".floor",
                    "floor " + p.floor() + " is over the share " + p.share(),
                    "lower the floor or raise the share");
        }
        if (p.priority() < 0) {
            add(
                    path + ".priority",
                    "priority " + p.priority() + " is under 0",
                    "set 0 for the first partner");
        }
        if (!SHA256.matcher(p.credentialSha256()).matches()) {
            add(
                    path + ".credentialSha256",
                    "not 64 lower-case hexadecimal digits",
                    "set the SHA-256 of the partner's credential");
        }
    }

    private void services(MeshConfig c) {
        if (c.services().isEmpty()) {
            add("$.services", "there is no service", "add at least one service");
        }
        for (ServiceSpec s : c.services().values()) {
            String path = "$.services." + s.name();
            name(s.name(), path);
            Set<String> seen = new HashSet<>();
            for (int i = 0; i < s.operations().size(); i++) {
                Operation o = s.operations().get(i);
                String at = path + ".operations[" + i + "]";
                operation(o, at);
                if (!seen.add(o.method() + " " + o.pathPrefix())) {
                    add(
                            at,
                            "operation " + o.method() + " " + o.pathPrefix() + " is there twice",
                            "remove one of the two");
                }
            }
        }
    }

    private void operation(Operation o, String path) {
        if (o.workClass() == null) {
            add(
                    path + ".workClass",
                    "the operation has no class of work",
                    "use critical, normal or browsing");
        }
        if (!METHOD.matcher(o.method()).matches()) {
            add(
                    path + ".method",
                    "method '" + o.method() + "' is not an HTTP method in upper case",
                    "use GET, POST or another method");
        }
        if (!PATH.matcher(o.pathPrefix()).matches()) {
            add(
                    path + ".pathPrefix",
                    "path prefix '"
                            + o.pathPrefix()
                            + "' does not start with a slash or has"
                            + " characters that a path cannot have",
                    "write it as /PATH, percent-encoded and without a query");
        }
    }

    private void size(MeshConfig c) {
        int bytes = ConfigJson.tree(c).toString().getBytes(StandardCharsets.UTF_8).length;
        if (bytes > MAX_DOCUMENT_BYTES) {
            add(
                    "$",
                    "the document has " + bytes + " bytes and the limit is " + MAX_DOCUMENT_BYTES,
                    "use shorter path prefixes or fewer operations");
        }
    }

    private void name(String name, String path) {
        if (!NAME.matcher(name).matches()) {
            add(
                    path,
                    "name '" + name + "' is not valid",
                    "use 1 to 63 lower-case letters, digits, '-', '_' or '.',"
                            + " starting with a letter or digit");
        }
    }

    private void add(String path, String message, String remedy) {
        mProblems.add(new ConfigProblem(path, message, remedy));
    }
}
