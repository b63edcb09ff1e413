package io.azurestage.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a node answered.
 *
 * @param status HTTP status, 0 if there was no usable answer
 * @param body JSON body, a missing node if there is none
 * @param failure what happened, empty if there was an answer
 */
record NodeResponse(int status, JsonNode body, String failure) {
    private static final int FIRST_OK = 200;
    private static final int LAST_OK = 299;

    boolean isOk() {
        return status >= FIRST_OK && status <= LAST_OK;
    }

    String fault() {
        return failure.isEmpty() ? "answered with status " + status : failure;
    }
}
