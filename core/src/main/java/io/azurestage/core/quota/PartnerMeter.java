package io.azurestage.core.quota;

import io.azurestage.core.partner.QuotaLimit;
import io.azurestage.core.rate.RateTokens;
import java.time.Duration;

/** What a node has admitted for one partner, and what it may admit. Not thread-safe. */
final class PartnerMeter {
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

    private final String mPartner;
    private final RateTokens mGrantedTokens = new RateTokens();
    private final RateTokens mOwnTokens = new RateTokens();
    private QuotaLimit mLimit;

    private String mOwner = "";
    private long mEpoch;
    private long mAdmitted;
    private long mOffered;

    /** Totals of the last report; the owner's grant acknowledges the admitted one. */
    private long mReportedAdmitted;

    private long mReportedOffered;
    private long mAcknowledged;
    private long mSentNanos;
    private boolean mReported;
    private boolean mAwaitsGrant;

    /** Whether one more report is due that shows the owner that no more requests come. */
    private boolean mOwesClosingReport;

    private boolean mGranted;
    private long mGrantedNanos;
    private double mFraction = 1;
    private double mRate = Double.POSITIVE_INFINITY;
    private double mCredit;
    private double mShare;
    private double mLevel = Double.POSITIVE_INFINITY;

    PartnerMeter(String partner, QuotaLimit limit) {
        mPartner = partner;
        mLimit = limit;
    }

    String partner() {
        return mPartner;
    }

    /** Returns the owner of the quota, empty if no node is known. */
    String owner() {
        return mOwner;
    }

    void setLimit(QuotaLimit limit) {
        mLimit = limit;
    }

    /** Until the owner has replied, a node may use an equal part of some of the tolerance. */
    void setFleet(int nodes, QuotaBounds bounds) {
        if (mGranted) {
            return;
        }
        double tolerance = FIRST_CREDIT_PART * bounds.tolerance(mLimit);
        mCredit = Math.max(MIN_FIRST_CREDIT, tolerance / nodes);
        mShare = 1.0 / nodes;
    }

    /** Restarts the totals for a new owner, which has not counted what is unacknowledged. */
    void changeOwner(String owner, long epoch) {
        mOwner = owner;
        mEpoch = epoch;
        mAdmitted -= mAcknowledged;
        mOffered = 0;
        mAcknowledged = 0;
        mReportedAdmitted = 0;
        mReportedOffered = 0;
        mReported = false;
        mAwaitsGrant = false;
    }

    boolean admit(long nowNanos) {
        mOffered++;
        boolean pressed = mRate < Double.POSITIVE_INFINITY;
        if (pressed && !mGrantedTokens.take(mRate, nowNanos)) {
            return false;
        }
        if (!isInCredit(nowNanos)) {
            return false;
        }
        mAdmitted++;
        return true;
    }

    /** Uses the credit, and beyond it the node's own part of the rate while no grant comes. */
    private boolean isInCredit(long nowNanos) {
        if (mAdmitted - mAcknowledged < mCredit) {
            mOwnTokens.reset(nowNanos);
            return true;
        }
        double ownRate = mShare * QuotaMeter.OWN_RATE_PART * mLimit.ratePerSecond();
        return mOwnTokens.take(ownRate, nowNanos);
    }

    void giveBack() {
        mAdmitted--;
    }

    QuotaStatus status(long nowNanos) {
        Duration age = mGranted ? Duration.ofNanos(nowNanos - mGrantedNanos) : Duration.ZERO;
        return new QuotaStatus(mFraction, mLimit.ratePerSecond(), age);
    }

    /** Reports whether there is something to report, even if it can wait. */
    boolean hasNews() {
        return !mAwaitsGrant && mOffered != mReportedOffered;
    }

    boolean isReportDue(long nowNanos) {
        if (mOwner.isEmpty()) {
            return false;
        }
        long sinceNanos = nowNanos - mSentNanos;
        if (mAwaitsGrant) {
            return sinceNanos >= REPEAT_INTERVAL.toNanos();
        }
        boolean changed = mOffered != mReportedOffered || mAdmitted != mReportedAdmitted;
        if (!changed && !mOwesClosingReport) {
            return false;
        }
        boolean urgent = mAdmitted - mReportedAdmitted >= mCredit * URGENT_PART;
        Duration interval = mRate < Double.POSITIVE_INFINITY ? PRESSED_INTERVAL : CALM_INTERVAL;
        return !mReported || urgent || sinceNanos >= interval.toNanos();
    }

    QuotaReport report(long nowNanos) {
        mOwesClosingReport = mOffered != mReportedOffered;
        mReportedAdmitted = mAdmitted;
        mReportedOffered = mOffered;
        mSentNanos = nowNanos;
        mAwaitsGrant = true;
        mReported = true;
        return new QuotaReport(
                mPartner, mEpoch, mAcknowledged, mAdmitted, mOffered, mRate, mShare, mLevel);
    }

    /** Applies a grant of the owner, unless it answers a report to an earlier one. */
    void onGrant(QuotaGrant grant, long nowNanos) {
        if (mEpoch != grant.epoch()) {
            return;
        }
        if (grant.acknowledged() == mReportedAdmitted) {
            mAwaitsGrant = false;
        }
        mAcknowledged = grant.acknowledged();
        mGranted = true;
        mGrantedNanos = nowNanos;
        mFraction = grant.fraction();
        mRate = grant.rate();
        mCredit = grant.credit();
        mShare = grant.share();
        mLevel = grant.level();
    }
}
