package io.azurestage.core.quota;

import io.azurestage.core.partner.PartnerPolicy;
import io.azurestage.core.partner.QuotaLimit;
import io.azurestage.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides at a node which requests of partners fit into their quotas.
 *
 * <p>The load pattern: many partners, each with few requests a second at a node, and now and then
 * one that sends many times its usual. A fixed part of the limit at each node would refuse clumps
 * of a few requests. So a node admits requests up to a credit before the owner knows of them, and
 * the fraction that the owner returned decides only while the partner is near its limit. A node
 * that gets no reply admits its share of the limit, which the owner keeps back for it. Not
 * thread-safe.
 */
public final class QuotaMeter {
    /** Interval of the reports of a partner that is well below its limit. */
    private static final Duration CALM_INTERVAL = Duration.ofSeconds(2);

    /** Interval of the reports of a partner whose requests are refused in part. */
    private static final Duration PRESSED_INTERVAL = Duration.ofMillis(200);

    /** Time without a grant after which a report is sent again. */
    private static final Duration REPEAT_INTERVAL = Duration.ofMillis(300);

    /** Part of the credit after which a report is sent at once. */
    private static final double URGENT_PART = 0.3;

    /** Fewest requests that a node admits before a first grant. */
    private static final double MIN_FIRST_CREDIT = 3;

    /** Part of the tolerance that nodes without a grant may use together. */
    private static final double FIRST_CREDIT_PART = 0.5;

    /** Part of its share of the rate that a node admits while the owner does not reply. */
    static final double OWN_RATE_PART = 0.8;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Token bucket whose rate may change; it holds little, so that nodes do not save tokens. */
    private static final class Tokens {
        private static final double CAPACITY_SECONDS = 0.3;

        private double mCount;
        private long mUpdatedNanos;

        void reset(long nowNanos) {
            mCount = 0;
            mUpdatedNanos = nowNanos;
        }

        boolean take(double ratePerSecond, long nowNanos) {
            double elapsedSeconds = (nowNanos - mUpdatedNanos) / NANOS_PER_SECOND;
            mUpdatedNanos = nowNanos;
            double capacity = Math.max(1, ratePerSecond * CAPACITY_SECONDS);
            mCount = Math.min(capacity, mCount + ratePerSecond * elapsedSeconds);
            if (mCount < 1) {
                return false;
            }
            mCount -= 1;
            return true;
        }
    }

    /** State of one partner. */
    private static final class Account {
        private final String mPartner;
        private QuotaLimit mLimit;
        private String mOwner = "";
        private long mEpoch;
        private long mAdmitted;
        private long mOffered;
        private long mReportedAdmitted;
        private long mReportedOffered;
        private long mAcknowledged;
        private long mSentNanos;
        private long mGrantedNanos;
        private boolean mAwaitsGrant;
        private boolean mReported;
        private boolean mFallingSilent;
        private double mFraction = 1;
        private double mCredit;
        private double mShare;
        private double mLevel = Double.POSITIVE_INFINITY;
        private double mRate = Double.POSITIVE_INFINITY;
        private final Tokens mGranted = new Tokens();
        private final Tokens mOwn = new Tokens();

        Account(String partner, QuotaLimit limit, long epoch) {
            mEpoch = epoch;
            mPartner = partner;
            mLimit = limit;
        }

        /** Restarts the totals for a new owner, which has not counted what is unacknowledged. */
        void changeOwner(String owner) {
            mOwner = owner;
            mEpoch++;
            mAdmitted -= mAcknowledged;
            mOffered = 0;
            mAcknowledged = 0;
            mReportedAdmitted = 0;
            mReportedOffered = 0;
            mReported = false;
            mAwaitsGrant = false;
        }

        boolean admits(long nowNanos) {
            boolean pressed = mRate != Double.POSITIVE_INFINITY;
            if (pressed && !mGranted.take(mRate, nowNanos)) {
                return false;
            }
            if (mAdmitted - mAcknowledged < mCredit) {
                mOwn.reset(nowNanos);
                return true;
            }
            return mOwn.take(mShare * OWN_RATE_PART * mLimit.ratePerSecond(), nowNanos);
        }

        QuotaStatus status(long nowNanos) {
            Duration age =
                    mGrantedNanos == 0
                            ? Duration.ZERO
                            : Duration.ofNanos(Math.max(0, nowNanos - mGrantedNanos));
            return new QuotaStatus(mFraction, mLimit.ratePerSecond(), age);
        }

        boolean isUrgent() {
            return mAdmitted - mReportedAdmitted >= mCredit * URGENT_PART;
        }

        boolean isDue(long nowNanos) {
            long sinceNanos = nowNanos - mSentNanos;
            if (mAwaitsGrant) {
                return sinceNanos >= REPEAT_INTERVAL.toNanos();
            }
            boolean changed = mOffered != mReportedOffered || mAdmitted != mReportedAdmitted;
            if (!changed && !mFallingSilent) {
                return false;
            }
            Duration interval = mRate < Double.POSITIVE_INFINITY ? PRESSED_INTERVAL : CALM_INTERVAL;
            return !mReported || isUrgent() || sinceNanos >= interval.toNanos();
        }

        QuotaReport report(long nowNanos) {
            mFallingSilent = mOffered != mReportedOffered;
            mReportedAdmitted = mAdmitted;
            mReportedOffered = mOffered;
            mSentNanos = nowNanos;
            mAwaitsGrant = true;
            mReported = true;
            return new QuotaReport(
                    mPartner, mEpoch, mAcknowledged, mAdmitted, mOffered, mRate, mShare, mLevel);
        }
    }

    private final TimeSource mTime;
    private final QuotaBounds mBounds;
    private final long mFirstEpoch;
    private final Map<String, Account> mAccounts = new HashMap<>();
    private QuotaOwners mOwners = new QuotaOwners(List.of());

    /**
     * Creates a meter without partners, which admits everything.
     *
     * @param time clock
     * @param bounds how closely quotas must be kept
     * @param firstEpoch number that no earlier process of this node has used, such as its start
     *     time
     */
    public QuotaMeter(TimeSource time, QuotaBounds bounds, long firstEpoch) {
        mFirstEpoch = firstEpoch;
        mTime = time;
        mBounds = bounds;
    }

    /**
     * Applies the limits of a configuration. Counts of partners that stay are kept.
     *
     * @param partners all partners
     */
    public void configure(List<PartnerPolicy> partners) {
        Map<String, Account> kept = new HashMap<>();
        for (PartnerPolicy p : partners) {
            if (p.quota().isPresent()) {
                Account a = mAccounts.get(p.name());
                if (a == null) {
                    a = new Account(p.name(), p.quota().get(), mFirstEpoch);
                    assignOwner(a);
                }
                a.mLimit = p.quota().get();
                kept.put(p.name(), a);
            }
        }
        mAccounts.clear();
        mAccounts.putAll(kept);
    }

    /**
     * Applies a change of the known nodes.
     *
     * @param owners choice of the owners among them
     */
    public void setOwners(QuotaOwners owners) {
        mOwners = owners;
        mAccounts.values().forEach(this::assignOwner);
    }

    private void assignOwner(Account a) {
        String owner = mOwners.ownerOf(a.mPartner).orElse("");
        if (a.mGrantedNanos == 0) {
            int nodes = Math.max(1, mOwners.nodes());
            double tolerance = FIRST_CREDIT_PART * mBounds.tolerance(a.mLimit);
            a.mCredit = Math.max(MIN_FIRST_CREDIT, tolerance / nodes);
            a.mShare = 1.0 / nodes;
        }
        if (!owner.equals(a.mOwner)) {
            a.changeOwner(owner);
        }
    }

    /**
     * Decides on a request and counts it.
     *
     * @param partner name of the request's partner
     * @return whether it fits into the quota
     */
    public boolean admit(String partner) {
        Account a = mAccounts.get(partner);
        if (a == null) {
            return true;
        }
        a.mOffered++;
        if (!a.admits(mTime.nanos())) {
            return false;
        }
        a.mAdmitted++;
        return true;
    }

    /**
     * Gives back the place of a request that was admitted and ended without having run.
     *
     * @param partner name of the request's partner
     */
    public void giveBack(String partner) {
        Account a = mAccounts.get(partner);
        if (a != null) {
            a.mAdmitted--;
        }
    }

    /**
     * Returns what is known of a partner's quota.
     *
     * @param partner name of the partner
     * @return the status, or empty if the partner has no limit
     */
    public Optional<QuotaStatus> status(String partner) {
        Account a = mAccounts.get(partner);
        return a == null ? Optional.empty() : Optional.of(a.status(mTime.nanos()));
    }

    /**
     * Reports whether the owner of a partner has to be told at once.
     *
     * @param partner name of the partner
     * @return whether a report is due
     */
    public boolean isReportDue(String partner) {
        Account a = mAccounts.get(partner);
        return a != null && !a.mOwner.isEmpty() && a.isDue(mTime.nanos());
    }

    /**
     * Collects the reports that are due. Partners with the same owner as one that is due are
     * reported along with it, which saves messages.
     *
     * @return reports by owner; the caller sends them
     */
    public Map<String, List<QuotaReport>> collectReports() {
        long now = mTime.nanos();
        Map<String, List<QuotaReport>> byOwner = new HashMap<>();
        for (Account a : mAccounts.values()) {
            if (!a.mOwner.isEmpty() && a.isDue(now)) {
                byOwner.computeIfAbsent(a.mOwner, o -> new ArrayList<>());
            }
        }
        if (byOwner.isEmpty()) {
            return byOwner;
        }
        for (Account a : mAccounts.values()) {
            List<QuotaReport> reports = byOwner.get(a.mOwner);
            boolean changed = a.mOffered != a.mReportedOffered && !a.mAwaitsGrant;
            if (reports != null && (changed || a.isDue(now))) {
                reports.add(a.report(now));
            }
        }
        return byOwner;
    }

    /**
     * Applies a grant of a partner's owner. One of an earlier epoch is ignored.
     *
     * @param grant the grant
     */
    public void onGrant(QuotaGrant grant) {
        Account a = mAccounts.get(grant.partner());
        if (a == null || a.mEpoch != grant.epoch()) {
            return;
        }
        a.mAwaitsGrant = a.mReportedAdmitted != grant.acknowledged() && a.mAwaitsGrant;
        a.mAcknowledged = grant.acknowledged();
        a.mFraction = grant.fraction();
        a.mRate = grant.rate();
        a.mGrantedNanos = mTime.nanos();
        a.mCredit = grant.credit();
        a.mShare = grant.share();
        a.mLevel = grant.level();
    }
}
