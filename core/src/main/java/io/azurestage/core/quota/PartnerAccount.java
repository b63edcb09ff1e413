package io.azurestage.core.quota;

import io.azurestage.core.partner.QuotaLimit;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * What the nodes have admitted for one partner, kept by the owner of its quota.
 *
 * <p>A token bucket holds what may be spent. Its rate and burst include half of the tolerance, so
 * that a partner whose demand is just at its limit loses nothing; the other half is for requests
 * that the owner does not know of yet. The level becomes negative when the nodes have admitted too
 * much, and the rate that they may admit falls until the excess is made up. For a node that has
 * fallen silent, its part of the rate counts as spent until it reports again or is forgotten. An
 * owner that takes over goes on from the level that the nodes know of the one before. Not
 * thread-safe.
 */
final class PartnerAccount {
    /** Time over which the level of the bucket is given out. */
    private static final double SETTLE_SECONDS = 1;

    /** Time over which a negative level is made up. */
    private static final double REPAY_SECONDS = 2;

    /** Time constant of the estimates of the arrival rates. */
    private static final double RATE_SECONDS = 0.7;

    /** The same while a rate rises: a surge must be noticed soon. */
    private static final double RISING_RATE_SECONDS = 0.25;

    /** Shortest time over which a rate is estimated: clumps are shorter. */
    private static final double MIN_RATE_SECONDS = 0.2;

    /** Longest time between the reports of a node with traffic, with room for a slow link. */
    private static final Duration SILENT_AFTER = Duration.ofSeconds(3);

    /** Time after which the part of a silent node is no longer kept back. */
    private static final Duration FORGET_AFTER = Duration.ofSeconds(10);

    /** Interval between updates of the sums over all nodes. */
    private static final Duration SUM_INTERVAL = Duration.ofMillis(50);

    /**
     * Time after the first report in which not all nodes have reported. Their shares and rates of
     * before apply until then.
     */
    private static final Duration TAKE_OVER_TIME = Duration.ofSeconds(1);

    /** Part of the tolerance that is spent on purpose. */
    private static final double SPENT_TOLERANCE_PART = 0.5;

    /** Part of what may be lent to nodes that is lent. */
    private static final double LENT_PART = 0.8;

    /** Lowest credit of a node, so that a clump of requests fits. */
    private static final double MIN_CREDIT = 3;

    /** Lowest credit of a node while the partner is at its limit. */
    private static final double MIN_PRESSED_CREDIT = 2;

    /** Part of the burst that must be left for nodes to admit at any rate. */
    private static final double CALM_PART = 0.3;

    /** Part of the rate that is divided equally among the nodes. */
    private static final double EQUAL_PART = 0.1;

    private static final double MIN_FRACTION = 0.01;
    private static final double NANOS_PER_SECOND = 1e9;

    /** What a node has reported. */
    private static final class NodeAccount {
        private long mEpoch;
        private long mAdmitted;
        private long mOffered;
        private double mRate;
        private double mShare;
        private double mAssumed;
        private long mHeardNanos;
    }

    private final QuotaBounds mBounds;
    private final Map<String, NodeAccount> mNodes = new HashMap<>();
    private final long mCreatedNanos;
    private QuotaLimit mLimit;
    private double mLevel;
    private double mLowestKnownLevel = Double.POSITIVE_INFINITY;
    private double mOfferedRate;
    private double mSilentRate;
    private long mUpdatedNanos;
    private long mSummedNanos;

    PartnerAccount(QuotaBounds bounds, QuotaLimit limit, long nowNanos) {
        mBounds = bounds;
        mLimit = limit;
        mCreatedNanos = nowNanos;
        mUpdatedNanos = nowNanos;
        mSummedNanos = nowNanos;
    }

    void setLimit(QuotaLimit limit) {
        mLimit = limit;
        mLevel = Math.min(mLevel, capacity());
    }

    QuotaGrant onReport(String node, QuotaReport r, long nowNanos) {
        refill(nowNanos);
        if (nowNanos - mSummedNanos >= SUM_INTERVAL.toNanos()) {
            sum(nowNanos);
        }
        NodeAccount n = account(node, r, nowNanos);
        spend(r.admitted() - n.mAdmitted - n.mAssumed);
        n.mAssumed = 0;
        n.mAdmitted = r.admitted();
        updateRate(n, r.offered(), nowNanos);
        return grant(n, r, nowNanos);
    }

    /** Sums up the demand, and counts the parts of silent nodes as spent. */
    private void sum(long nowNanos) {
        double elapsedSeconds = (nowNanos - mSummedNanos) / NANOS_PER_SECOND;
        mSummedNanos = nowNanos;
        mNodes.values().removeIf(n -> nowNanos - n.mHeardNanos > FORGET_AFTER.toNanos());
        mOfferedRate = 0;
        mSilentRate = 0;
        for (NodeAccount n : mNodes.values()) {
            boolean silent = nowNanos - n.mHeardNanos > SILENT_AFTER.toNanos();
            if (silent && n.mRate > 0) {
                double assumed = n.mShare * QuotaMeter.OWN_RATE_PART * mLimit.ratePerSecond();
                mSilentRate += assumed;
                n.mAssumed += assumed * elapsedSeconds;
                spend(assumed * elapsedSeconds);
            } else {
                mOfferedRate += n.mRate;
            }
        }
    }

    private NodeAccount account(String node, QuotaReport r, long nowNanos) {
        NodeAccount known = mNodes.get(node);
        if (known != null && known.mEpoch == r.epoch()) {
            return known;
        }
        NodeAccount n = new NodeAccount();
        n.mEpoch = r.epoch();
        n.mAdmitted = r.acknowledged();
        // Arrivals before the first report to this process say nothing about the rate now.
        n.mOffered = r.acknowledged() > 0 ? r.offered() : 0;
        n.mAssumed = known == null ? 0 : known.mAssumed;
        n.mHeardNanos = nowNanos - (long) (RATE_SECONDS * NANOS_PER_SECOND);
        mNodes.put(node, n);
        if (isTakingOver(nowNanos) && r.level() < mLowestKnownLevel) {
            boolean first = mLowestKnownLevel == Double.POSITIVE_INFINITY;
            spend(first ? -r.level() : mLowestKnownLevel - r.level());
            mLowestKnownLevel = r.level();
        }
        return n;
    }

    private boolean isTakingOver(long nowNanos) {
        return nowNanos - mCreatedNanos < TAKE_OVER_TIME.toNanos();
    }

    private void updateRate(NodeAccount n, long offered, long nowNanos) {
        double seconds = Math.max(MIN_RATE_SECONDS, (nowNanos - n.mHeardNanos) / NANOS_PER_SECOND);
        double rate = Math.max(0, offered - n.mOffered) / seconds;
        double before = n.mRate;
        double constantSeconds = rate > before ? RISING_RATE_SECONDS : RATE_SECONDS;
        double weight = 1 - Math.exp(-seconds / constantSeconds);
        n.mRate = offered == n.mOffered ? 0 : before + weight * (rate - before);
        mOfferedRate = Math.max(0, mOfferedRate + n.mRate - before);
        n.mOffered = offered;
        n.mHeardNanos = nowNanos;
    }

    /** The slack of a window is spread over it, so that it serves a lasting demand. */
    private double refillRate() {
        return mLimit.ratePerSecond() * (1 + SPENT_TOLERANCE_PART * mBounds.overage())
                + SPENT_TOLERANCE_PART * mBounds.slack() / mBounds.windowSeconds();
    }

    private double capacity() {
        return mLimit.burst() * (1 + SPENT_TOLERANCE_PART * mBounds.overage());
    }

    private void refill(long nowNanos) {
        double seconds = Math.max(0, nowNanos - mUpdatedNanos) / NANOS_PER_SECOND;
        mUpdatedNanos = nowNanos;
        mLevel = Math.min(capacity(), mLevel + refillRate() * seconds);
    }

    /** A deeper debt would only starve the partner: the window that it belongs to ends. */
    private void spend(double amount) {
        double lowest = -mBounds.tolerance(mLimit);
        mLevel = Math.min(capacity(), Math.max(lowest, mLevel - amount));
    }

    private QuotaGrant grant(NodeAccount n, QuotaReport r, long nowNanos) {
        double settleSeconds = mLevel > 0 ? SETTLE_SECONDS : REPAY_SECONDS;
        double available = refillRate() - mSilentRate + mLevel / settleSeconds;
        boolean calm = mOfferedRate <= 0 || mLevel > CALM_PART * capacity();
        double fraction = calm ? 1 : available / mOfferedRate;
        fraction = Math.max(MIN_FRACTION, Math.min(1, fraction));
        boolean takingOver = isTakingOver(nowNanos);
        n.mShare = takingOver ? r.share() : share(n);
        double rate =
                fraction < 1
                        ? n.mShare * Math.max(available, MIN_FRACTION * mLimit.ratePerSecond())
                        : Double.POSITIVE_INFINITY;
        if (takingOver && r.rate() < Double.POSITIVE_INFINITY) {
            rate = r.rate();
        }
        boolean pressed = rate < Double.POSITIVE_INFINITY;
        double credit =
                Math.max(
                        pressed ? MIN_PRESSED_CREDIT : MIN_CREDIT,
                        lending(pressed) * creditShare(n, takingOver));
        return new QuotaGrant(
                r.partner(), r.epoch(), r.admitted(), fraction, rate, credit, n.mShare, mLevel);
    }

    /**
     * Returns how many requests all nodes together may admit unknown to this one. With their own
     * parts of the rate they then keep the bound even if none of them gets through.
     */
    private double lending(boolean pressed) {
        double tolerance = mBounds.tolerance(mLimit);
        double reserve = (1 - SPENT_TOLERANCE_PART) * tolerance;
        if (pressed) {
            return LENT_PART * reserve;
        }
        double unusedRate = (1 - QuotaMeter.OWN_RATE_PART) * mLimit.ratePerSecond();
        return LENT_PART * (Math.max(0, mLevel) + reserve + unusedRate * mBounds.windowSeconds());
    }

    /** Half equal, because a node with little demand may get a clump of requests. */
    private double creditShare(NodeAccount n, boolean takingOver) {
        return takingOver ? n.mShare : (n.mShare + 1.0 / mNodes.size()) / 2;
    }

    /** Shares follow demand; a small equal part lets a node begin whose demand is new. */
    private double share(NodeAccount n) {
        double equal = 1.0 / mNodes.size();
        if (mOfferedRate <= 0) {
            return equal;
        }
        double ofDemand = Math.min(1, n.mRate / mOfferedRate);
        return ofDemand + EQUAL_PART * (equal - ofDemand);
    }
}
