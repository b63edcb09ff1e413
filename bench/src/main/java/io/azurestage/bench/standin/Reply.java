package io.azurestage.bench.standin;

/**
 * Result of a downstream call.
 *
 * @param status HTTP status, or 0 if no complete response was received
 * @param contentType content type of the response, or empty
 * @param body response body, or empty
 * @param reason class name of the failure if no complete response was received, or empty
 */
public record Reply(int status, String contentType, byte[] body, String reason) {
    static Reply failed(String reason) {
        return new Reply(0, "", new byte[0], reason);
    }

    /**
     * Reports whether the call succeeded.
     *
     * @return true for a complete response with a 2xx status
     */
    public boolean ok() {
        return status / 100 == 2;
    }
}
