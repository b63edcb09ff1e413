package io.azurestage.core.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Divides the requests of each route over its services by smooth weighted round robin, so that the
 * shares hold in every short window. Not thread-safe.
 */
public final class SplitChooser {
    private record Key(String route, List<RouteTarget> targets) {}

    private final Map<Key, long[]> mCredits = new HashMap<>();

    /**
     * Chooses the service of the next request.
     *
     * @param route the request's route
     * @return name of the service
     */
    public String next(Route route) {
        List<RouteTarget> targets = route.targets();
        if (targets.size() == 1) {
            return targets.get(0).service();
        }
        long[] credits =
                mCredits.computeIfAbsent(
                        new Key(route.name(), targets), k -> new long[targets.size()]);
        long sum = 0;
        int best = 0;
        for (int i = 0; i < credits.length; i++) {
            credits[i] += targets.get(i).weight();
            sum += targets.get(i).weight();
            if (credits[i] > credits[best]) {
                best = i;
            }
        }
        credits[best] -= sum;
        return targets.get(best).service();
    }

    /**
     * Forgets routes that are no longer configured.
     *
     * @param routes routes in force
     */
    public void retain(List<Route> routes) {
        mCredits.keySet()
                .removeIf(
                        k ->
                                routes.stream()
                                        .noneMatch(
                                                r ->
                                                        r.name().equals(k.route)
                                                                && r.targets().equals(k.targets)));
    }
}
