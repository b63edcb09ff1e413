package io.azurestage.store;

import io.azurestage.config.AcceptedConfig;
import io.azurestage.config.Azurestage;
import io.azurestage.config.ConfigProblem;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Publishes configurations by compare-and-swap. Any number of publishers may push concurrently; the
 * store serializes their writes. Thread-safe.
 *
 * <p>Example:
 *
 * <pre>{@code
 * ConfigPublisher publisher = new ConfigPublisher(store);
 * PushResult result = publisher.push(Push.of(config, "asha").reported(41)).join();
 * if (result instanceof PushResult.Accepted a) {
 *     System.out.println("accepted as version " + a.record().number());
 * }
 * }</pre>
 */
public final class ConfigPublisher {
    private final PlatformStore mStore;
    private final Clock mClock;
    private final Supplier<String> mChangeIds;
    private final Function<Duration, CompletableFuture<Void>> mPauses;

    /**
     * Creates a publisher with the system clock and random change ids.
     *
     * @param store store to publish to
     */
    public ConfigPublisher(PlatformStore store) {
        this(
                store,
                Clock.systemUTC(),
                () -> UUID.randomUUID().toString(),
                ConfigPublisher::pauseOnTimer);
    }

    /**
     * Creates a publisher.
     *
     * @param store store to publish to
     * @param clock source of the acceptance time of a version
     * @param changeIds supplies unique change ids
     * @param pauses returns a future that completes after the given time, used between attempts
     */
    public ConfigPublisher(
            PlatformStore store,
            Clock clock,
            Supplier<String> changeIds,
            Function<Duration, CompletableFuture<Void>> pauses) {
        mStore = Objects.requireNonNull(store, "store");
        mClock = Objects.requireNonNull(clock, "clock");
        mChangeIds = Objects.requireNonNull(changeIds, "changeIds");
        mPauses = Objects.requireNonNull(pauses, "pauses");
    }

    /**
     * Validates and publishes a configuration. If the response of a write is lost, its outcome is
     * read back, in at most {@value PushAttempt#MAX_ATTEMPTS} attempts.
     *
     * @param push what to publish
     * @return the outcome; the future never fails
     */
    public CompletableFuture<PushResult> push(Push push) {
        List<ConfigProblem> problems = new ArrayList<>(Azurestage.check(push.config()));
        if (push.author().isBlank() || push.author().length() > AcceptedConfig.MAX_AUTHOR) {
            problems.add(
                    new ConfigProblem(
                            "author",
                            "the author is empty or over "
                                    + AcceptedConfig.MAX_AUTHOR
                                    + " characters",
                            "name the author"));
        }
        if (!problems.isEmpty()) {
            return CompletableFuture.completedFuture(new PushResult.Invalid(List.copyOf(problems)));
        }
        return new PushAttempt(mStore, push, mChangeIds.get(), mClock.instant(), mPauses).run();
    }

    private static CompletableFuture<Void> pauseOnTimer(Duration pause) {
        return CompletableFuture.runAsync(
                () -> {},
                CompletableFuture.delayedExecutor(pause.toMillis(), TimeUnit.MILLISECONDS));
    }
}
