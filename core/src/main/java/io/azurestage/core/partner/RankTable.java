package io.azurestage.core.partner;

import io.azurestage.config.WorkClass;
import io.azurestage.core.route.Route;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeSet;

/**
 * Assigns work classes to requests by the rank of the partner and then by that of the route.
 *
 * <p>There are fewer classes than there may be ranks. The least important ranks keep classes of
 * their own, since shedding begins with them; the more important ones share the highest class.
 * Without ranks of partners, the ranks of routes map to the classes directly. Immutable.
 */
public final class RankTable {
    private record Rank(int partner, int route) implements Comparable<Rank> {
        @Override
        public int compareTo(Rank other) {
            return partner != other.partner
                    ? Integer.compare(partner, other.partner)
                    : Integer.compare(route, other.route);
        }
    }

    private static final WorkClass[] CLASSES = WorkClass.values();

    private final Map<Rank, WorkClass> mClasses = new HashMap<>();
    private final int mDefaultPartnerRank;

    /**
     * Creates a table.
     *
     * @param partners all partners
     * @param routes all routes
     */
    public RankTable(List<PartnerPolicy> partners, List<Route> routes) {
        TreeSet<Integer> partnerRanks = new TreeSet<>();
        partners.forEach(p -> p.rank().ifPresent(partnerRanks::add));
        mDefaultPartnerRank = partnerRanks.isEmpty() ? 0 : partnerRanks.last();
        if (partnerRanks.size() < 2) {
            return;
        }
        TreeSet<Rank> ranks = new TreeSet<>();
        for (Route r : routes) {
            ranks.add(new Rank(mDefaultPartnerRank, r.rank()));
            if (!r.open()) {
                partnerRanks.forEach(p -> ranks.add(new Rank(p, r.rank())));
            }
        }
        int index = CLASSES.length - ranks.size();
        for (Rank rank : ranks) {
            mClasses.put(rank, CLASSES[Math.max(0, index++)]);
        }
    }

    /**
     * Returns the class of a request.
     *
     * @param partnerRank rank of the request's partner, empty if the request has no partner or the
     *     partner has no rank: then that of the least important partner applies
     * @param route route of the request
     * @return the class
     */
    public WorkClass workClass(OptionalInt partnerRank, Route route) {
        WorkClass c =
                mClasses.isEmpty()
                        ? null
                        : mClasses.get(
                                new Rank(partnerRank.orElse(mDefaultPartnerRank), route.rank()));
        return c != null ? c : CLASSES[Math.min(route.rank(), CLASSES.length - 1)];
    }
}
