package io.azurestage.core.routing;

import java.util.List;

/** Groups servers into locality tiers by the cost of reaching them from this node. */
final class Tiers {
    private final String mDataCentre;
    private final String mRegion;
    private final long[] mCostsNanos;

    Tiers(String dataCentre, String region, RoutingSettings settings) {
        mDataCentre = dataCentre;
        mRegion = region;
        mCostsNanos =
                new long[] {
                    0, settings.sameRegionCost().toNanos(), settings.otherRegionCost().toNanos()
                };
    }

    long costNanos(int tier) {
        return mCostsNanos[tier];
    }

    Server[][] group(List<Server> servers) {
        Server[][] tiers = new Server[mCostsNanos.length][];
        for (int i = 0; i < tiers.length; i++) {
            int tier = i;
            tiers[i] = servers.stream().filter(s -> tierOf(s) == tier).toArray(Server[]::new);
        }
        return tiers;
    }

    private int tierOf(Server s) {
        Endpoint e = s.mEndpoint;
        if (!e.region().equals(mRegion)) {
            return 2;
        }
        return e.dataCentre().equals(mDataCentre) ? 0 : 1;
    }
}
