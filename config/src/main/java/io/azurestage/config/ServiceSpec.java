package io.azurestage.config;

import java.util.Comparator;
import java.util.List;

/**
 * A service and its operations.
 *
 * @param name unique name
 * @param operations operations; the longest matching path prefix wins
 */
public record ServiceSpec(String name, List<Operation> operations) {

    /** Copies the list, so that the record is immutable. */
    public ServiceSpec {
        operations = List.copyOf(operations);
    }

    /**
     * Finds the operation of a request. A request that matches no operation is browsing, and is
     * idempotent if RFC 9110 defines its method as idempotent.
     *
     * @param method HTTP method
     * @param path path of the request
     * @return the operation with the longest matching prefix, or the default
     */
    public Operation operation(String method, String path) {
        return operations.stream()
                .filter(o -> o.matches(method, path))
                .max(Comparator.comparingInt(o -> o.pathPrefix().length()))
                .orElseGet(() -> defaultOperation(method));
    }

    private static Operation defaultOperation(String method) {
        boolean idempotent =
                switch (method) {
                    case "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE" -> true;
                    default -> false;
                };
        return new Operation(method, "/", WorkClass.BROWSING, idempotent);
    }
}
