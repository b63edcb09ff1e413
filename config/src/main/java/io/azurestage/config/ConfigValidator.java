package io.azurestage.config;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Validates one configuration and collects its problems. */
final class ConfigValidator {
    static final int MAX_PERCENT = 100;
    static final int MAX_RETRY_ALLOWANCE = 10;

    /**
     * Maximum document length in bytes. The store accepts values of 1 MB; the difference is for the
     * fields around the document.
     */
    static final int MAX_DOCUMENT_BYTES = 990_000;

    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}");
    private static final Pattern PATH = Pattern.compile("/[!-~&&[^?#]]*");

    private final List<ConfigProblem> mProblems = new ArrayList<>();

    List<ConfigProblem> check(MeshConfig c) {
        validatePartners(c);
        validateServices(c);
        if (c.retryAllowance() < 0 || c.retryAllowance() > MAX_RETRY_ALLOWANCE) {
            addProblem(
                    "$.retryAllowance",
                    "retry allowance "
                            + c.retryAllowance()
                            + " is out of 0.."
                            + MAX_RETRY_ALLOWANCE,
                    "set it within this range");
        }
        if (mProblems.isEmpty()) {
            validateSize(c);
        }
        return List.copyOf(mProblems);
    }

    private void validatePartners(MeshConfig c) {
        if (c.partners().isEmpty()) {
            addProblem("$.partners", "there is no partner", "add at least one partner");
        }
        int sum = 0;
        Map<String, String> credentials = new HashMap<>();
        for (Partner p : c.partners().values()) {
            validatePartner(p, "$.partners." + p.name());
            sum += Math.max(0, Math.min(p.share(), MAX_PERCENT));
            String other = credentials.putIfAbsent(p.credentialSha256(), p.name());
            if (other != null && SHA256.matcher(p.credentialSha256()).matches()) {
                addProblem(
                        "$.partners." + p.name() + ".credentialSha256",
                        "the credential is that of partner " + other,
                        "give every partner a credential of its own");
            }
        }
        if (sum > MAX_PERCENT) {
            addProblem(
                    "$.partners",
                    "the shares add up to " + sum + " %",
                    "lower them to at most " + MAX_PERCENT + " % in sum");
        }
    }

    private void validatePartner(Partner p, String path) {
        validateName(p.name(), path);
        if (p.share() <= 0 || p.share() > MAX_PERCENT) {
            addProblem(
                    path + ".share",
                    "share " + p.share() + " is out of 1.." + MAX_PERCENT,
                    "set a share over 0 and at most " + MAX_PERCENT);
        }
        if (p.floor() < 1) {
            addProblem(
                    path + ".floor", "floor " + p.floor() + " is under 1", "set it to 1 or more");
        }
        if (p.floor() > p.share()) {
            addProblem(
                    path + ".floor",
                    "floor " + p.floor() + " is over the share " + p.share(),
                    "lower the floor or raise the share");
        }
        if (p.priority() < 0) {
            addProblem(
                    path + ".priority",
                    "priority " + p.priority() + " is under 0",
                    "set 0 for the first partner");
        }
        if (!SHA256.matcher(p.credentialSha256()).matches()) {
            addProblem(
                    path + ".credentialSha256",
                    "not 64 lower-case hexadecimal digits",
                    "set the SHA-256 of the partner's credential");
        }
    }

    private void validateServices(MeshConfig c) {
        if (c.services().isEmpty()) {
            addProblem("$.services", "there is no service", "add at least one service");
        }
        for (ServiceSpec s : c.services().values()) {
            String path = "$.services." + s.name();
            validateName(s.name(), path);
            Set<String> seen = new HashSet<>();
            for (int i = 0; i < s.operations().size(); i++) {
                Operation o = s.operations().get(i);
                String operationPath = path + ".operations[" + i + "]";
                validateOperation(o, operationPath);
                if (!seen.add(o.method() + " " + o.pathPrefix())) {
                    addProblem(
                            operationPath,
                            "operation " + o.method() + " " + o.pathPrefix() + " is there twice",
                            "remove one of the two");
                }
            }
        }
    }

    private void validateOperation(Operation o, String path) {
        if (o.workClass() == null) {
            addProblem(
                    path + ".workClass",
                    "the operation has no class of work",
                    "use critical, normal or browsing");
        }
        if (!METHOD.matcher(o.method()).matches()) {
            addProblem(
                    path + ".method",
                    "method '" + o.method() + "' is not an HTTP method in upper case",
                    "use GET, POST or another method");
        }
        if (!PATH.matcher(o.pathPrefix()).matches()) {
            addProblem(
                    path + ".pathPrefix",
                    "path prefix '"
                            + o.pathPrefix()
                            + "' does not start with a slash or has"
                            + " characters that a path cannot have",
                    "write it as /PATH, percent-encoded and without a query");
        }
    }

    private void validateSize(MeshConfig c) {
        int bytes = ConfigJson.toTree(c).toString().getBytes(StandardCharsets.UTF_8).length;
        if (bytes > MAX_DOCUMENT_BYTES) {
            addProblem(
                    "$",
                    "the document has " + bytes + " bytes and the limit is " + MAX_DOCUMENT_BYTES,
                    "use shorter path prefixes or fewer operations");
        }
    }

    private void validateName(String name, String path) {
        if (!NAME.matcher(name).matches()) {
            addProblem(
                    path,
                    "name '" + name + "' is not valid",
                    "use 1 to 63 lower-case letters, digits, '-', '_' or '.',"
                            + " starting with a letter or digit");
        }
    }

    private void addProblem(String path, String message, String remedy) {
        mProblems.add(new ConfigProblem(path, message, remedy));
    }
}
