package io.azurestage.core.routing;

/**
 * A backend server chosen for one attempt. The caller reports the result once, so that routing can
 * take it into account.
 */
public interface Pick {

    /**
     * Returns the chosen backend server.
     *
     * @return the endpoint
     */
    Endpoint endpoint();

    /**
     * Reports the server's fault rate. Call before {@link #done}.
     *
     * @param rate fraction of its requests that the server fails or refuses, in [0,1]
     */
    void faults(double rate);

    /**
     * Reports the fraction of the requests for this server that should be placed on others. Call
     * before {@link #done}.
     *
     * @param fraction a number in [0,1], 0 unless the server states a rate limit
     */
    void divert(double fraction);

    /**
     * Reports how the attempt ended. Only the first report counts.
     *
     * @param result result of the attempt
     * @param latencyNanos time from sending the request to the answer, in nanoseconds
     * @param load load that the answer reported, or a negative number if it reported none
     */
    void done(AttemptResult result, long latencyNanos, double load);
}
