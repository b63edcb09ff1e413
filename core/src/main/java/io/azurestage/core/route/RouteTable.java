package io.azurestage.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request by its host and the longest matching prefix. Immutable. */
public final class RouteTable {
    private final Map<String, List<Route>> mByHost = new HashMap<>();

    /**
     * Creates a table.
     *
     * @param routes all routes
     */
    public RouteTable(List<Route> routes) {
        for (Route r : routes) {
            mByHost.computeIfAbsent(r.host().toLowerCase(Locale.ROOT), h -> new ArrayList<>())
                    .add(r);
        }
        Comparator<Route> byDescendingPrefixLength =
                Comparator.comparingInt(r -> -r.prefix().length());
        mByHost.values().forEach(list -> list.sort(byDescendingPrefixLength));
    }

    /**
     * Finds the route of a request.
     *
     * @param host value of the Host header, with or without a port
     * @param target request target: path and query
     * @return the route with the longest prefix, or empty if none matches
     */
    public Optional<Route> find(String host, String target) {
        String hostKey = host.toLowerCase(Locale.ROOT);
        List<Route> routes = mByHost.get(hostKey);
        int colon = hostKey.lastIndexOf(':');
        if (routes == null && colon > 0) {
            routes = mByHost.get(hostKey.substring(0, colon));
        }
        if (routes == null) {
            return Optional.empty();
        }
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        return routes.stream().filter(r -> path.startsWith(r.prefix())).findFirst();
    }
}
