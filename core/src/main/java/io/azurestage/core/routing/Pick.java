package io.azurestage.core.routing;

/** A chosen backend server. Report the result once, so that routing can learn from it. */
public interface Pick {

    /**
     * Returns the chosen backend server.
     *
     * @return the endpoint
     */
    Endpoint endpoint();

    /**
     * Reports what part of its work the server fails, before the attempt's end is reported.
     *
     * @param rate part of the requests that the server fails or turns away, in [0,1]
     */
    void faults(double rate);

    /**
     * Reports how the attempt ended. Only the first report counts.
     *
     * @param result what happened
     * @param latencyNanos time from sending to the answer
     * @param load load that the answer reported, or a negative number if none
     */
    void done(AttemptResult result, long latencyNanos, double load);
}
