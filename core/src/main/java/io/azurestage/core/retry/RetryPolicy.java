package io.azurestage.core.retry;

import io.azurestage.core.retry.AttemptOutcome.BrokenAnswer;
import io.azurestage.core.retry.AttemptOutcome.LostAnswer;
import io.azurestage.core.retry.AttemptOutcome.RefusedOverloaded;
import io.azurestage.core.retry.AttemptOutcome.ServerError;
import io.azurestage.core.retry.RetryDecision.GiveUp;
import io.azurestage.core.retry.RetryDecision.Reason;
import io.azurestage.core.retry.RetryDecision.RetryElsewhere;
import io.azurestage.core.retry.RetryDecision.RetrySameOwner;
import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Decides whether a failed attempt is retried, with exponential backoff and full jitter. The
 * decision depends only on the arguments and has no side effect; the caller takes the retry with
 * {@link Allowance#tryRetry()} and gives up if that fails, because another sub-call may have taken
 * the last retry in the meantime.
 *
 * @param base upper bound of the first delay, positive
 * @param cap upper bound of every delay, at least {@code base}
 */
public record RetryPolicy(Duration base, Duration cap) {
    private static final int MAX_DOUBLINGS = 30;

    /** Validates the delays. */
    public RetryPolicy {
        if (base.isNegative() || base.isZero() || cap.compareTo(base) < 0) {
            throw new IllegalArgumentException(
                    "base must be positive and at most cap, not base " + base + " and cap " + cap);
        }
    }

    /**
     * Returns the default policy: up to 10 ms of delay for the first retry, doubled for each later
     * one, and at most 250 ms.
     *
     * @return the policy
     */
    public static RetryPolicy defaults() {
        return new RetryPolicy(Duration.ofMillis(10), Duration.ofMillis(250));
    }

    /**
     * Decides what to do after a failed attempt.
     *
     * @param a the failed attempt
     * @param random source of jitter
     * @return a retry that starts before the deadline, or the reason to give up
     */
    public RetryDecision decide(Attempt a, RandomGenerator random) {
        Optional<Reason> reasonNotToRetry = reasonNotToRetry(a);
        if (reasonNotToRetry.isPresent()) {
            return new GiveUp(reasonNotToRetry.get());
        }
        if (a.allowance() <= 0) {
            return new GiveUp(Reason.ALLOWANCE_SPENT);
        }
        Duration delay = delay(a.retries(), random);
        if (delay.compareTo(a.remaining()) >= 0) {
            return new GiveUp(Reason.DEADLINE);
        }
        return a.ticketed() ? new RetrySameOwner(delay) : new RetryElsewhere(delay);
    }

    private static Optional<Reason> reasonNotToRetry(Attempt a) {
        AttemptOutcome o = a.outcome();
        if (o instanceof RefusedOverloaded) {
            return Optional.of(Reason.SHEDDING);
        }
        if (o instanceof AttemptOutcome.ConnectFailed) {
            return Optional.empty();
        }
        boolean lost = o instanceof LostAnswer || o instanceof BrokenAnswer;
        boolean mayHaveRun = lost || o instanceof ServerError;
        if (a.ticketed()) {
            if (lost) {
                return Optional.empty();
            }
            return Optional.of(mayHaveRun ? Reason.SAME_ANSWER : Reason.TICKET_SEALED);
        }
        return mayHaveRun && !a.idempotent() ? Optional.of(Reason.MAY_HAVE_RUN) : Optional.empty();
    }

    /** Returns a delay with full jitter, which spreads retries of requests that failed together. */
    private Duration delay(int retries, RandomGenerator random) {
        long maxNanos = base.toNanos() << Math.min(retries, MAX_DOUBLINGS);
        if (maxNanos <= 0 || maxNanos >> Math.min(retries, MAX_DOUBLINGS) != base.toNanos()) {
            maxNanos = cap.toNanos();
        }
        return Duration.ofNanos(random.nextLong(Math.min(maxNanos, cap.toNanos()) + 1));
    }
}
