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
     * Reports how the attempt ended. Only the first report counts.
     *
     * @param result what happened
     * @param latencyNanos time from sending to the answer
     * @param load load that the answer reported, or a negative number if none
     */
    void done(AttemptResult result, long latencyNanos, double load);
}
