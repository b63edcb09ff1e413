package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Finds out which partner uses whose unused share, and reports changes. */
final class LoanBook {
    /** Hysteresis keeps a loan of about half a slot from starting and ending all the time. */
    private static final double START_SLOTS = 0.75;

    private static final double END_SLOTS = 0.25;

    /** The slots in use vary from window to window, so changes of a loan are reported rarely. */
    private static final long CHANGE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private record Key(String lender, String borrower, WorkClass workClass) {}

    private record Reported(int slots, long atNanos) {}

    private final PartnerTable mPartners;
    private final LoanListener mListener;
    private final Map<Key, Reported> mLoans = new LinkedHashMap<>();

    LoanBook(PartnerTable partners, LoanListener listener) {
        mPartners = partners;
        mListener = listener;
    }

    /** Compares the slots in use with the shares, and returns the loans. */
    List<Loan> update(int limit, long nowNanos) {
        Map<Key, Double> found = new LinkedHashMap<>();
        double capacity = limit;
        for (WorkClass c : WorkClass.values()) {
            capacity -= find(c, Math.max(0, capacity), nowNanos, found);
        }
        for (Key key : List.copyOf(mLoans.keySet())) {
            if (found.getOrDefault(key, 0.0) < END_SLOTS) {
                report(key, 0, nowNanos);
            }
        }
        found.forEach((key, slots) -> reportIfChanged(key, slots, nowNanos));
        List<Loan> loans = new ArrayList<>();
        mLoans.forEach(
                (k, r) -> loans.add(new Loan(k.lender(), k.borrower(), k.workClass(), r.slots())));
        return List.copyOf(loans);
    }

    private double find(WorkClass c, double capacity, long nowNanos, Map<Key, Double> found) {
        double used = 0;
        double unused = 0;
        for (PartnerState p : mPartners.all()) {
            double average = p.usage(c.ordinal()).average(nowNanos);
            used += average;
            unused += Math.max(0, mPartners.part(p, capacity) - average);
        }
        if (unused > 0) {
            for (PartnerState borrower : mPartners.all()) {
                double excess = -spare(borrower, c, capacity, nowNanos);
                if (excess > 0) {
                    divide(borrower, c, excess / unused, capacity, nowNanos, found);
                }
            }
        }
        return used;
    }

    private void divide(
            PartnerState borrower,
            WorkClass c,
            double part,
            double capacity,
            long nowNanos,
            Map<Key, Double> found) {
        for (PartnerState lender : mPartners.all()) {
            double spare = Math.max(0, spare(lender, c, capacity, nowNanos));
            double slots = spare * Math.min(1, part);
            if (slots > 0) {
                found.put(new Key(lender.name(), borrower.name(), c), slots);
            }
        }
    }

    private double spare(PartnerState p, WorkClass c, double capacity, long nowNanos) {
        return mPartners.part(p, capacity) - p.usage(c.ordinal()).average(nowNanos);
    }

    private void reportIfChanged(Key key, double lent, long nowNanos) {
        Reported old = mLoans.get(key);
        int slots = Math.max(1, (int) Math.round(lent));
        boolean starts = old == null && lent >= START_SLOTS;
        boolean changes =
                old != null && old.slots() != slots && nowNanos - old.atNanos() >= CHANGE_NANOS;
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
