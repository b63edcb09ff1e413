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
    private static final String TRY_LATER = "push again when the store answers";

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final PlatformStore mStore;
    private final ConfigVersions mVersions;
    private final Push mPush;
    private final String mChangeId;
    private final Instant mTime;
    private final Function<Duration, CompletableFuture<Void>> mPauses;
    private Optional<AcceptedConfig> mBefore = Optional.empty();
    private long mExpected;
    private AcceptedConfig mRecord;

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
        return mVersions.current().thenCompose(this::start);
    }

    private CompletableFuture<PushResult> start(VersionRead read) {
        if (read instanceof VersionRead.Unavailable u) {
            return done(new PushResult.Unavailable(u.reason(), TRY_LATER));
        }
        if (read instanceof VersionRead.Unreadable u) {
            String remedy = "push with the release that wrote it, or a newer one";
            return done(new PushResult.Unavailable(u.reason(), remedy));
        }
        mExpected = PlatformStore.ABSENT;
        if (read instanceof VersionRead.Found f) {
            mBefore = Optional.of(f.record());
            mExpected = f.revision();
        }
        long current = mBefore.map(AcceptedConfig::number).orElse(0L);
        if (mPush.base().isPresent() && mPush.base().getAsLong() != current) {
            return done(conflict(mBefore));
        }
        long number = Math.max(current, mPush.reported()) + 1;
        mRecord = new AcceptedConfig(number, mChangeId, mPush.author(), mTime, mPush.config());
        return mBefore.isEmpty() ? write(1) : archiveThenWrite(mBefore.get());
    }

    private CompletableFuture<PushResult> archiveThenWrite(AcceptedConfig before) {
        return archive(before, 1)
                .thenCompose(
                        archived ->
                                archived
                                        ? write(1)
                                        : done(
                                                new PushResult.Unavailable(
                                                        "the current version could not be added"
                                                                + " to the history",
                                                        TRY_LATER)));
    }

    /** Completes with true as soon as the history has an entry with the version's number. */
    private CompletableFuture<Boolean> archive(AcceptedConfig record, int attempt) {
        return mVersions
                .history(record.number())
                .thenCompose(
                        read -> {
                            if (read instanceof VersionRead.Unavailable) {
                                return archiveAgain(record, attempt);
                            }
                            if (read instanceof VersionRead.Missing) {
                                return addToHistory(record, attempt);
                            }
                            warnUnlessSame(record, read);
                            return CompletableFuture.completedFuture(true);
                        });
    }

    private CompletableFuture<Boolean> addToHistory(AcceptedConfig record, int attempt) {
        return mStore.compareAndSwap(
                        ConfigVersions.historyKey(record.number()),
                        PlatformStore.ABSENT,
                        bytes(record),
                        PlatformStore.NO_LEASE)
                .thenCompose(
                        w ->
                                w instanceof WriteResult.Applied
                                        ? CompletableFuture.completedFuture(true)
                                        : archiveAgain(record, attempt));
    }

    private CompletableFuture<Boolean> archiveAgain(AcceptedConfig record, int attempt) {
        return attempt == MAX_ATTEMPTS
                ? CompletableFuture.completedFuture(false)
                : pause(attempt).thenCompose(v -> archive(record, attempt + 1));
    }

    private static void warnUnlessSame(AcceptedConfig record, VersionRead read) {
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
                        mExpected,
                        bytes(mRecord),
                        PlatformStore.NO_LEASE)
                .thenCompose(w -> written(w, attempt));
    }

    private CompletableFuture<PushResult> written(WriteResult result, int attempt) {
        if (result instanceof WriteResult.Applied) {
            return accepted(false);
        }
        boolean first = attempt == 1;
        if (result instanceof WriteResult.Unavailable u) {
            return first
                    ? done(new PushResult.Unavailable(u.reason(), TRY_LATER))
                    : settleAgain(u.reason(), attempt);
        }
        if (result instanceof WriteResult.MaybeApplied m) {
            return settle(m.reason(), attempt);
        }
        // A repeated write may conflict with the first copy of itself.
        return first ? lost() : settle("the write was repeated", attempt);
    }

    private CompletableFuture<PushResult> lost() {
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
                                    TRY_LATER);
                        });
    }

    /** Reads the current version to find the outcome of a write whose response was lost. */
    private CompletableFuture<PushResult> settle(String reason, int attempt) {
        return mVersions.current().thenCompose(read -> settle(read, reason, attempt));
    }

    private CompletableFuture<PushResult> settle(VersionRead read, String reason, int attempt) {
        if (read instanceof VersionRead.Unavailable || read instanceof VersionRead.Unreadable) {
            return settleAgain(reason, attempt);
        }
        Optional<AcceptedConfig> now = Optional.empty();
        long revision = PlatformStore.ABSENT;
        if (read instanceof VersionRead.Found f) {
            now = Optional.of(f.record());
            revision = f.revision();
        }
        if (now.isPresent() && now.get().changeId().equals(mChangeId)) {
            return accepted(false);
        }
        if (revision == mExpected) {
            // The lost write may still be in flight. Repeating it is safe, because only one of the
            // copies can find the expected revision.
            return attempt == MAX_ATTEMPTS
                    ? unknown(reason)
                    : pause(attempt).thenCompose(v -> write(attempt + 1));
        }
        if (revision < mExpected) {
            return unknown("the store returned to an earlier state");
        }
        return lookUp(now, reason, attempt);
    }

    private CompletableFuture<PushResult> settleAgain(String reason, int attempt) {
        return attempt == MAX_ATTEMPTS
                ? unknown(reason)
                : pause(attempt).thenCompose(v -> settle(reason, attempt + 1));
    }

    private CompletableFuture<PushResult> lookUp(
            Optional<AcceptedConfig> now, String reason, int attempt) {
        return mVersions
                .history(mRecord.number())
                .thenCompose(
                        read -> {
                            if (read instanceof VersionRead.Missing) {
                                return done(conflict(now));
                            }
                            if (read instanceof VersionRead.Found f) {
                                return f.record().changeId().equals(mChangeId)
                                        ? accepted(true)
                                        : done(conflict(now));
                            }
                            return settleAgain(reason, attempt);
                        });
    }

    private CompletableFuture<PushResult> accepted(boolean superseded) {
        PushResult result = new PushResult.Accepted(mRecord, difference(mBefore), superseded);
        if (superseded) {
            return done(result);
        }
        // Best effort: if this write fails, the next push adds the version to the history.
        return mStore.compareAndSwap(
                        ConfigVersions.historyKey(mRecord.number()),
                        PlatformStore.ABSENT,
                        bytes(mRecord),
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
        MeshConfig before =
                from.map(AcceptedConfig::config).orElseGet(() -> Azurestage.config().build());
        return ConfigDiff.between(before, mPush.config());
    }

    private CompletableFuture<PushResult> unknown(String reason) {
        String remedy =
                "when the store answers, look for change "
                        + mChangeId
                        + " in azurestage config history: if it is there, it was accepted; if not,"
                        + " push again";
        return done(new PushResult.Unknown(mRecord, reason, remedy));
    }

    private CompletableFuture<Void> pause(int attempt) {
        return mPauses.apply(FIRST_PAUSE.multipliedBy(1L << (attempt - 1)));
    }

    private static byte[] bytes(AcceptedConfig record) {
        return record.toJson().getBytes(StandardCharsets.UTF_8);
    }

    private static CompletableFuture<PushResult> done(PushResult result) {
        return CompletableFuture.completedFuture(result);
    }
}
