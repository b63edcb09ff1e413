package io.azurestage.core.admission;

import io.azurestage.config.WorkClass;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Finds out which partner uses whose unused share, and reports changes. */
final class LoanBook {
    private static final int MIN_CHANGE_SLOTS = 2;
    private static final int MIN_CHANGE_DIVISOR = 4;

    private record Key(String lender, String borrower, WorkClass workClass) {}

    private final PartnerTable mPartners;
    private final LoanListener mListener;
    private final Map<Key, Integer> mLoans = new LinkedHashMap<>();

    LoanBook(PartnerTable partners, LoanListener listener) {
        mPartners = partners;
        mListener = listener;
    }

    /** Compares the slots in use with the shares, and returns the loans. */
    List<Loan> update(int limit, long nowNanos) {
        Map<Key, Integer> found = new LinkedHashMap<>();
        double capacity = limit;
        for (WorkClass c : WorkClass.values()) {
            capacity -= find(c, Math.max(0, capacity), nowNanos, found);
        }
        for (Key key : List.copyOf(mLoans.keySet())) {
            if (!found.containsKey(key)) {
                report(key, 0);
            }
        }
        found.forEach(this::reportIfChanged);
        List<Loan> loans = new ArrayList<>();
        mLoans.forEach(
                (k, slots) -> loans.add(new Loan(k.lender(), k.borrower(), k.workClass(), slots)));
        return List.copyOf(loans);
    }

    private double find(WorkClass c, double capacity, long nowNanos, Map<Key, Integer> found) {
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
            Map<Key, Integer> found) {
        for (PartnerState lender : mPartners.all()) {
            double spare = Math.max(0, spare(lender, c, capacity, nowNanos));
            int slots = (int) Math.round(spare * Math.min(1, part));
            if (slots > 0) {
                found.put(new Key(lender.name(), borrower.name(), c), slots);
            }
        }
    }

    private double spare(PartnerState p, WorkClass c, double capacity, long nowNanos) {
        return mPartners.part(p, capacity) - p.usage(c.ordinal()).average(nowNanos);
    }

    /** Small changes are not reported, because the slots in use vary from window to window. */
    private void reportIfChanged(Key key, int slots) {
        int old = mLoans.getOrDefault(key, 0);
        int least = Math.max(MIN_CHANGE_SLOTS, old / MIN_CHANGE_DIVISOR);
        if (old == 0 || Math.abs(slots - old) >= least) {
            report(key, slots);
        }
    }

    private void report(Key key, int slots) {
        if (slots == 0) {
            mLoans.remove(key);
        } else {
            mLoans.put(key, slots);
        }
        mListener.changed(key.lender(), key.borrower(), key.workClass(), slots);
    }
}
