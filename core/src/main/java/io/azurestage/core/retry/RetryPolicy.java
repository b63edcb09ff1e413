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
 * Decides whether an attempt is followed by another one. The decision depends on the arguments
 * alone and changes nothing; the caller takes the retry with {@link Allowance#tryRetry()} and gives
 * up if that fails, because another sub-call may have taken the last one in between.
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
                    "base must be positive and at most cap, not " + base + " and " + cap);
        }
    }

    /**
     * Returns a policy with delays of up to 10 ms for the first retry and 250 ms for later ones.
     *
     * @return the policy
     */
    public static RetryPolicy defaults() {
        return new RetryPolicy(Duration.ofMillis(10), Duration.ofMillis(250));
    }

    /**
     * Decides what follows an attempt.
     *
     * @param a the attempt
     * @param random source of jitter
     * @return a retry that starts before the deadline, or the reason to give up
     */
    public RetryDecision decide(Attempt a, RandomGenerator random) {
        Optional<Reason> obstacle = obstacle(a);
        if (obstacle.isPresent()) {
            return new GiveUp(obstacle.get());
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

    private static Optional<Reason> obstacle(Attempt a) {
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

    /** Full jitter: spreads retries of requests that failed at the same moment. */
    private Duration delay(int retries, RandomGenerator random) {
        long most = base.toNanos() << Math.min(retries, MAX_DOUBLINGS);
        if (most <= 0 || most >> Math.min(retries, MAX_DOUBLINGS) != base.toNanos()) {
            most = cap.toNanos();
        }
        return Duration.ofNanos(random.nextLong(Math.min(most, cap.toNanos()) + 1));
    }
}
