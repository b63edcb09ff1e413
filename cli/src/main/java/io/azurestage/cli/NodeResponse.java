package io.azurestage.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Response of a node to an HTTP call.
 *
 * @param status HTTP status, 0 if there was no valid response
 * @param body JSON body, a {@code MissingNode} if there is none
 * @param failure why there was no valid response, empty if there was one
 */
record NodeResponse(int status, JsonNode body, String failure) {
    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int MAX_SUCCESS_STATUS = 299;

    boolean isOk() {
        return status >= MIN_SUCCESS_STATUS && status <= MAX_SUCCESS_STATUS;
    }

    String fault() {
        return failure.isEmpty() ? "answered with status " + status : failure;
    }
}
