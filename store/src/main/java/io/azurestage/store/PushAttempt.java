package io.azurestage.store;

import com.google.common.flogger.FluentLogger;
import io.azurestage.config.AcceptedConfig;
import io.azurestage.config.Azurestage;
import io.azurestage.config.ConfigDiff;
import io.azurestage.config.MeshConfig;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * One push of a configuration. Each version is added to the history before it is replaced. So, if
 * the current version is neither the one that this push read nor its own, the history entry with
 * this push's number shows whether the push was accepted.
 */
final class PushAttempt {
    /** Maximum number of attempts at a step. The pauses between them add up to 1.5 s. */
    static final int MAX_ATTEMPTS = 5;

    private static final Duration FIRST_PAUSE = Duration.ofMillis(100);
    private static final String RETRY_REMEDY = "push again when the store answers";

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final PlatformStore mStore;
    private final ConfigVersions mVersions;
    private final Push mPush;
    private final String mChangeId;
    private final Instant mTime;
    private final Function<Duration, CompletableFuture<Void>> mPauses;
    private Optional<AcceptedConfig> mPrevious = Optional.empty();
    private long mExpectedRevision;
    private AcceptedConfig mProposed;

    PushAttempt(
            PlatformStore store,
            Push push,
            String changeId,
            Instant time,
            Function<Duration, CompletableFuture<Void>> pauses) {
        mStore = store;
        mVersions = new ConfigVersions(store);
        mPush = push;
        mChangeId = changeId;
        mTime = time;
        mPauses = pauses;
    }

    CompletableFuture<PushResult> run() {
        return mVersions.current().thenCompose(this::prepare);
    }

    private CompletableFuture<PushResult> prepare(VersionRead read) {
        if (read instanceof VersionRead.Unavailable u) {
            return completed(new PushResult.Unavailable(u.reason(), RETRY_REMEDY));
        }
        if (read instanceof VersionRead.Unreadable u) {
            String remedy = "push with the release that wrote it, or a newer one";
            return completed(new PushResult.Unavailable(u.reason(), remedy));
        }
        mExpectedRevision = PlatformStore.ABSENT;
        if (read instanceof VersionRead.Found f) {
            mPrevious = Optional.of(f.record());
            mExpectedRevision = f.revision();
        }
        long current = mPrevious.map(AcceptedConfig::number).orElse(0L);
        if (mPush.base().isPresent() && mPush.base().getAsLong() != current) {
            return completed(conflict(mPrevious));
        }
        long number = Math.max(current, mPush.reported()) + 1;
        mProposed = new AcceptedConfig(number, mChangeId, mPush.author(), mTime, mPush.config());
        return mPrevious.isEmpty() ? write(1) : archiveThenWrite(mPrevious.get());
    }

    private CompletableFuture<PushResult> archiveThenWrite(AcceptedConfig previous) {
        return archive(previous, 1)
                .thenCompose(
                        archived ->
                                archived
                                        ? write(1)
                                        : completed(
                                                new PushResult.Unavailable(
                                                        "the current version could not be added"
                                                                + " to the history",
                                                        RETRY_REMEDY)));
    }

    /** Completes with true as soon as the history has an entry with the version's number. */
    private CompletableFuture<Boolean> archive(AcceptedConfig record, int attempt) {
        return mVersions
                .history(record.number())
                .thenCompose(
                        read -> {
                            if (read instanceof VersionRead.Unavailable) {
                                return retryArchive(record, attempt);
                            }
                            if (read instanceof VersionRead.Missing) {
                                return addToHistory(record, attempt);
                            }
                            warnIfDifferent(record, read);
                            return CompletableFuture.completedFuture(true);
                        });
    }

    private CompletableFuture<Boolean> addToHistory(AcceptedConfig record, int attempt) {
        return mStore.compareAndSwap(
                        ConfigVersions.historyKey(record.number()),
                        PlatformStore.ABSENT,
                        encode(record),
                        PlatformStore.NO_LEASE)
                .thenCompose(
                        w ->
                                w instanceof WriteResult.Applied
                                        ? CompletableFuture.completedFuture(true)
                                        : retryArchive(record, attempt));
    }

    private CompletableFuture<Boolean> retryArchive(AcceptedConfig record, int attempt) {
        return attempt == MAX_ATTEMPTS
                ? CompletableFuture.completedFuture(false)
                : pause(attempt).thenCompose(v -> archive(record, attempt + 1));
    }

    private static void warnIfDifferent(AcceptedConfig record, VersionRead read) {
        boolean same =
                read instanceof VersionRead.Found f
                        && f.record().changeId().equals(record.changeId());
        if (!same) {
            LOG.atWarning().log(
                    "history entry %d does not hold the version of change %s",
                    record.number(), record.changeId());
        }
    }

    private CompletableFuture<PushResult> write(int attempt) {
        return mStore.compareAndSwap(
                        ConfigVersions.CURRENT_KEY,
                        mExpectedRevision,
                        encode(mProposed),
                        PlatformStore.NO_LEASE)
                .thenCompose(w -> onWriteResult(w, attempt));
    }

    private CompletableFuture<PushResult> onWriteResult(WriteResult result, int attempt) {
        if (result instanceof WriteResult.Applied) {
            return accepted(false);
        }
        boolean firstAttempt = attempt == 1;
        if (result instanceof WriteResult.Unavailable u) {
            return firstAttempt
                    ? completed(new PushResult.Unavailable(u.reason(), RETRY_REMEDY))
                    : retryResolve(u.reason(), attempt);
        }
        if (result instanceof WriteResult.MaybeApplied m) {
            return resolve(m.reason(), attempt);
        }
        // A repeated write may conflict with the first copy of itself.
        return firstAttempt ? readConflict() : resolve("the write was repeated", attempt);
    }

    private CompletableFuture<PushResult> readConflict() {
        return mVersions
                .current()
                .thenApply(
                        read -> {
                            if (read instanceof VersionRead.Found f) {
                                return conflict(Optional.of(f.record()));
                            }
                            if (read instanceof VersionRead.Missing) {
                                return conflict(Optional.empty());
                            }
                            return new PushResult.Unavailable(
                                    "another push came first, and the store did not return it",
                                    RETRY_REMEDY);
                        });
    }

    /** Reads the current version to find the outcome of a write whose response was lost. */
    private CompletableFuture<PushResult> resolve(String reason, int attempt) {
        return mVersions.current().thenCompose(read -> resolve(read, reason, attempt));
    }

    private CompletableFuture<PushResult> resolve(VersionRead read, String reason, int attempt) {
        if (read instanceof VersionRead.Unavailable || read instanceof VersionRead.Unreadable) {
            return retryResolve(reason, attempt);
        }
        Optional<AcceptedConfig> current = Optional.empty();
        long revision = PlatformStore.ABSENT;
        if (read instanceof VersionRead.Found f) {
            current = Optional.of(f.record());
            revision = f.revision();
        }
        if (current.isPresent() && current.get().changeId().equals(mChangeId)) {
            return accepted(false);
        }
        if (revision == mExpectedRevision) {
            // The lost write may still be in flight. Repeating it is safe, because only one of the
            // copies can find the expected revision.
            return attempt == MAX_ATTEMPTS
                    ? unknown(reason)
                    : pause(attempt).thenCompose(v -> write(attempt + 1));
        }
        if (revision < mExpectedRevision) {
            return unknown("the store returned to an earlier state");
        }
        return resolveFromHistory(current, reason, attempt);
    }

    private CompletableFuture<PushResult> retryResolve(String reason, int attempt) {
        return attempt == MAX_ATTEMPTS
                ? unknown(reason)
                : pause(attempt).thenCompose(v -> resolve(reason, attempt + 1));
    }

    private CompletableFuture<PushResult> resolveFromHistory(
            Optional<AcceptedConfig> current, String reason, int attempt) {
        return mVersions
                .history(mProposed.number())
                .thenCompose(
                        read -> {
                            if (read instanceof VersionRead.Missing) {
                                return completed(conflict(current));
                            }
                            if (read instanceof VersionRead.Found f) {
                                return f.record().changeId().equals(mChangeId)
                                        ? accepted(true)
                                        : completed(conflict(current));
                            }
                            return retryResolve(reason, attempt);
                        });
    }

    private CompletableFuture<PushResult> accepted(boolean superseded) {
        PushResult result = new PushResult.Accepted(mProposed, difference(mPrevious), superseded);
        if (superseded) {
            return completed(result);
        }
        // Best effort: if this write fails, the next push adds the version to the history.
        return mStore.compareAndSwap(
                        ConfigVersions.historyKey(mProposed.number()),
                        PlatformStore.ABSENT,
                        encode(mProposed),
                        PlatformStore.NO_LEASE)
                .thenApply(w -> result);
    }

    private PushResult conflict(Optional<AcceptedConfig> current) {
        long number = current.map(AcceptedConfig::number).orElse(0L);
        return new PushResult.Conflict(
                current,
                difference(current),
                "make the change again from version "
                        + number
                        + " (azurestage config show) and push with --base "
                        + number);
    }

    private ConfigDiff difference(Optional<AcceptedConfig> from) {
        MeshConfig previous =
                from.map(AcceptedConfig::config).orElseGet(() -> Azurestage.config().build());
        return ConfigDiff.between(previous, mPush.config());
    }

    private CompletableFuture<PushResult> unknown(String reason) {
        String remedy =
                "when the store answers, look for change "
                        + mChangeId
                        + " in azurestage config history: if it is there, it was accepted; if not,"
                        + " push again";
        return completed(new PushResult.Unknown(mProposed, reason, remedy));
    }

    private CompletableFuture<Void> pause(int attempt) {
        return mPauses.apply(FIRST_PAUSE.multipliedBy(1L << (attempt - 1)));
    }

    private static byte[] encode(AcceptedConfig record) {
        return record.toJson().getBytes(StandardCharsets.UTF_8);
    }

    private static CompletableFuture<PushResult> completed(PushResult result) {
        return CompletableFuture.completedFuture(result);
    }
}
