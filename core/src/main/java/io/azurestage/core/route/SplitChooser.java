package io.azurestage.core.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Divides the requests of each route between its services by smooth weighted round robin, so that
 * the shares hold even over short sequences of requests. Not thread-safe.
 */
public final class SplitChooser {
    private record Key(String route, List<RouteTarget> targets) {}

    private final Map<Key, long[]> mCurrentWeights = new HashMap<>();

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
        long[] currentWeights =
                mCurrentWeights.computeIfAbsent(
                        new Key(route.name(), targets), k -> new long[targets.size()]);
        long totalWeight = 0;
        int best = 0;
        for (int i = 0; i < currentWeights.length; i++) {
            currentWeights[i] += targets.get(i).weight();
            totalWeight += targets.get(i).weight();
            if (currentWeights[i] > currentWeights[best]) {
                best = i;
            }
        }
        currentWeights[best] -= totalWeight;
        return targets.get(best).service();
    }

    /**
     * Discards the state of routes that are no longer configured.
     *
     * @param routes routes in force
     */
    public void retain(List<Route> routes) {
        mCurrentWeights
                .keySet()
                .removeIf(
                        k ->
                                routes.stream()
                                        .noneMatch(
                                                r ->
                                                        r.name().equals(k.route)
                                                                && r.targets().equals(k.targets)));
    }
}
