package io.azurestage.core.retry;

import io.azurestage.core.time.TimeSource;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * This node's part of the retries that the servers of a service may get together. It is kept beside
 * each server, not where requests enter: a service has few servers, so each holds some retries at
 * once, while a fleet's hundreds of entries would hold less than one each. Each request earns a
 * fraction of a retry, and each node earns an equal part of a constant allowance. The part starts
 * empty, so that a restart never refills it, and holds at most a fraction of one window's earnings,
 * so that the sum over all nodes stays within the bound in every window. Not thread-safe.
 */
public final class RetryBudget {
    /** Part of the constant allowance that accrues in each window. */
    private static final double ACCRUED_PART = 0.3;

    /** Part of the constant allowance that all nodes together may hold at once. */
    private static final double HELD_PART = 0.6;

    /** Part of the allowed ratio that is used; the rest covers estimates of calls below. */
    private static final double RATIO_PART = 0.75;

    private static final class Account {
        private double mTokens;
        private long mLast;
    }

    private final TimeSource mTime;
    private final double mRatio;
    private final double mConstant;
    private final double mHeld;
    private final Duration mWindow;
    private final Map<String, Account> mAccounts = new HashMap<>();
    private int mNodes = 1;

    /**
     * Creates an empty budget.
     *
     * @param time source of time
     * @param ratio retries allowed for each request to a service
     * @param constant retries allowed in each window besides, for all nodes together
     * @param window length of the window
     */
    public RetryBudget(TimeSource time, double ratio, double constant, Duration window) {
        mTime = Objects.requireNonNull(time, "time");
        mRatio = ratio * RATIO_PART;
        mConstant = constant * ACCRUED_PART;
        mHeld = constant * HELD_PART;
        mWindow = window;
    }

    /**
     * Sets how many nodes share the budget.
     *
     * @param nodes nodes beside servers of the service, at least 1
     */
    public void share(int nodes) {
        mNodes = Math.max(1, nodes);
    }

    /**
     * Notes a first attempt.
     *
     * @param service service that gets it
     */
    public void requested(String service) {
        Account a = account(service);
        a.mTokens = Math.min(most(), a.mTokens + mRatio);
    }

    /**
     * Takes a retry.
     *
     * @param service service that gets it
     * @param reserve part of the budget that must remain, for more important work
     * @return whether it may be sent
     */
    public boolean tryRetry(String service, double reserve) {
        Account a = account(service);
        // A full account always gives a retry, however many nodes share the budget.
        if (a.mTokens < Math.min(most(), 1 + reserve * most())) {
            return false;
        }
        a.mTokens--;
        return true;
    }

    /**
     * Counts a request that is sent whatever is left, because a request that runs again needs it.
     *
     * @param service service that gets it
     */
    public void charge(String service) {
        Account a = account(service);
        a.mTokens = Math.max(-most(), a.mTokens - 1);
    }

    /**
     * Returns the retries left.
     *
     * @param service a service
     * @return this node's tokens
     */
    public double left(String service) {
        return account(service).mTokens;
    }

    private Account account(String service) {
        long now = mTime.nanos();
        Account a = mAccounts.get(service);
        if (a == null) {
            a = new Account();
            a.mLast = now;
            mAccounts.put(service, a);
        }
        double earned = (now - a.mLast) * mConstant / mNodes / mWindow.toNanos();
        a.mLast = now;
        a.mTokens = Math.min(most(), a.mTokens + earned);
        return a;
    }

    private double most() {
        return Math.max(1, mHeld / mNodes);
    }
}
