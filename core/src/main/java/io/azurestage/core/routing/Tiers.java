package io.azurestage.core.routing;

import java.util.List;

/** Sorts servers by what it costs to reach them from this node. */
final class Tiers {
    private final String mDataCentre;
    private final String mRegion;
    private final long[] mCosts;

    Tiers(String dataCentre, String region, RoutingSettings settings) {
        mDataCentre = dataCentre;
        mRegion = region;
        mCosts =
                new long[] {
                    0, settings.sameRegionCost().toNanos(), settings.otherRegionCost().toNanos()
                };
    }

    long cost(int tier) {
        return mCosts[tier];
    }

    Server[][] split(List<Server> servers) {
        Server[][] tiers = new Server[mCosts.length][];
        for (int i = 0; i < tiers.length; i++) {
            int tier = i;
            tiers[i] = servers.stream().filter(s -> tier(s) == tier).toArray(Server[]::new);
        }
        return tiers;
    }

    private int tier(Server s) {
        Endpoint e = s.mEndpoint;
        if (!e.region().equals(mRegion)) {
            return 2;
        }
        return e.dataCentre().equals(mDataCentre) ? 0 : 1;
    }
}
