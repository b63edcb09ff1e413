package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Determines which partners use the unused shares of others, and reports changes. */
final class LoanTracker {
    /** Start and end thresholds differ so that a loan of about half a slot does not flap. */
    private static final double START_SLOTS = 0.75;

    private static final double END_SLOTS = 0.25;

    /** Minimum time between reports of one loan, because slot usage varies between windows. */
    private static final long MIN_REPORT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private record Key(String lender, String borrower, WorkClass workClass) {}

    private record Reported(int slots, long atNanos) {}

    private final PartnerTable mPartners;
    private final LoanListener mListener;
    private final Map<Key, Reported> mLoans = new LinkedHashMap<>();

    LoanTracker(PartnerTable partners, LoanListener listener) {
        mPartners = partners;
        mListener = listener;
    }

    /** Compares slot usage with the shares, reports changed loans and returns the active loans. */
    List<Loan> update(int limit, long nowNanos) {
        Map<Key, Double> candidates = new LinkedHashMap<>();
        double capacity = limit;
        for (WorkClass c : WorkClass.values()) {
            capacity -= findLoans(c, Math.max(0, capacity), nowNanos, candidates);
        }
        for (Key key : List.copyOf(mLoans.keySet())) {
            if (candidates.getOrDefault(key, 0.0) < END_SLOTS) {
                report(key, 0, nowNanos);
            }
        }
        candidates.forEach((key, slots) -> reportIfChanged(key, slots, nowNanos));
        List<Loan> loans = new ArrayList<>();
        mLoans.forEach(
                (k, r) -> loans.add(new Loan(k.lender(), k.borrower(), k.workClass(), r.slots())));
        return List.copyOf(loans);
    }

    private double findLoans(
            WorkClass c, double capacity, long nowNanos, Map<Key, Double> candidates) {
        double used = 0;
        double unused = 0;
        for (PartnerState p : mPartners.all()) {
            double average = p.usage(c.ordinal()).average(nowNanos);
            used += average;
            unused += Math.max(0, mPartners.entitlement(p, capacity) - average);
        }
        if (unused > 0) {
            for (PartnerState borrower : mPartners.all()) {
                double excess = -spareSlots(borrower, c, capacity, nowNanos);
                if (excess > 0) {
                    assignLenders(borrower, c, excess / unused, capacity, nowNanos, candidates);
                }
            }
        }
        return used;
    }

    private void assignLenders(
            PartnerState borrower,
            WorkClass c,
            double lentRatio,
            double capacity,
            long nowNanos,
            Map<Key, Double> candidates) {
        for (PartnerState lender : mPartners.all()) {
            double spareSlots = Math.max(0, spareSlots(lender, c, capacity, nowNanos));
            double slots = spareSlots * Math.min(1, lentRatio);
            if (slots > 0) {
                candidates.put(new Key(lender.name(), borrower.name(), c), slots);
            }
        }
    }

    private double spareSlots(PartnerState p, WorkClass c, double capacity, long nowNanos) {
        return mPartners.entitlement(p, capacity) - p.usage(c.ordinal()).average(nowNanos);
    }

    private void reportIfChanged(Key key, double lentSlots, long nowNanos) {
        Reported previous = mLoans.get(key);
        int slots = Math.max(1, (int) Math.round(lentSlots));
        boolean starts = previous == null && lentSlots >= START_SLOTS;
        boolean changes =
                previous != null
                        && previous.slots() != slots
                        && nowNanos - previous.atNanos() >= MIN_REPORT_INTERVAL_NANOS;
        if (starts || changes) {
            report(key, slots, nowNanos);
        }
    }

    private void report(Key key, int slots, long nowNanos) {
        if (slots == 0) {
            mLoans.remove(key);
        } else {
            mLoans.put(key, new Reported(slots, nowNanos));
        }
        mListener.changed(key.lender(), key.borrower(), key.workClass(), slots);
    }
}
