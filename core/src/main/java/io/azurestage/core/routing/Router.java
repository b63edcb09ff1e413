package io.azurestage.core.routing;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.time.TimeSource;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Chooses a backend server for each attempt. Thread-safe. */
public final class Router {
    private final RandomGenerator mRandom;
    private volatile List<Endpoint> mEndpoints = List.of();

    /**
     * Creates a router that knows no backend server yet.
     *
     * @param dataCentre data centre of this node
     * @param region region of this node
     * @param time source of time
     * @param random source of random choices
     */
    public Router(String dataCentre, String region, TimeSource time, RandomGenerator random) {
        mRandom = random;
    }

    /**
     * Replaces the known backend servers. What was learnt about those that stay is kept.
     *
     * @param endpoints all backend servers that are alive
     */
    public void update(List<Endpoint> endpoints) {
        mEndpoints = List.copyOf(endpoints);
    }

    /**
     * Chooses a backend server.
     *
     * @param service service to call
     * @param exclude incarnations that this request must not be sent to again
     * @return the choice, or empty if no backend server is left
     */
    public Optional<Pick> pick(String service, Set<NodeIdentity> exclude) {
        List<Endpoint> open =
                mEndpoints.stream()
                        .filter(e -> e.service().equals(service))
                        .filter(e -> e.state() != Endpoint.State.DRAINING)
                        .filter(e -> !exclude.contains(e.node()))
                        .toList();
        return open.isEmpty()
                ? Optional.empty()
                : Optional.of(new SimplePick(open.get(mRandom.nextInt(open.size()))));
    }

    /**
     * Finds one incarnation, for a request whose ticket names it.
     *
     * @param node the incarnation
     * @return the backend server, draining or not, or empty if it is not alive
     */
    public Optional<Pick> find(NodeIdentity node) {
        return mEndpoints.stream()
                .filter(e -> e.node().equals(node))
                .findFirst()
                .map(SimplePick::new);
    }

    /**
     * Reports whether any backend server of a service is known.
     *
     * @param service name of the service
     * @return true if one is alive, draining or not
     */
    public boolean knows(String service) {
        return mEndpoints.stream().anyMatch(e -> e.service().equals(service));
    }

    private record SimplePick(Endpoint endpoint) implements Pick {
        @Override
        public void done(AttemptResult result, long latencyNanos, double load) {}
    }
}
