package io.azurestage.bench.standin;

/**
 * What a downstream call got back.
 *
 * @param status HTTP status, or 0 if there was no whole response
 * @param contentType content type, or empty
 * @param body the body
 * @param reason why there was no whole response, or empty
 */
public record Reply(int status, String contentType, byte[] body, String reason) {
    static Reply lost(String reason) {
        return new Reply(0, "", new byte[0], reason);
    }

    /**
     * Reports whether the call succeeded.
     *
     * @return true for a whole response with a status of 2xx
     */
    public boolean ok() {
        return status / 100 == 2;
    }
}
