package io.azurestage.client;

import java.net.URI;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Selects entry nodes at random, preferring those whose last attempt succeeded. Thread-safe. */
final class EntrySelector {
    private List<URI> mAll;
    private final Set<URI> mFailed = new HashSet<>();
    private final RandomGenerator mRandom;

    EntrySelector(List<URI> all, RandomGenerator random) {
        mRandom = random;
        replace(all);
    }

    /** Replaces the entries; the failure state of those that remain is kept. */
    synchronized void replace(List<URI> all) {
        if (all.isEmpty()) {
            throw new IllegalArgumentException("at least one entry node is needed");
        }
        mAll = List.copyOf(all);
        mFailed.retainAll(mAll);
    }

    /** Picks an entry, if possible not one of those already tried for the same call. */
    synchronized URI pick(Set<URI> tried) {
        List<URI> candidates = new ArrayList<>(mAll);
        candidates.removeAll(tried);
        if (candidates.isEmpty()) {
            candidates.addAll(mAll);
        }
        List<URI> working = new ArrayList<>(candidates);
        working.removeAll(mFailed);
        List<URI> preferred = working.isEmpty() ? candidates : working;
        return preferred.get(mRandom.nextInt(preferred.size()));
    }

    synchronized void markWorking(URI entry) {
        mFailed.remove(entry);
    }

    /** Marks an entry as failed; when all have failed, all marks are cleared. */
    synchronized void markFailed(URI entry) {
        if (mAll.contains(entry)) {
            mFailed.add(entry);
        }
        if (mFailed.size() == mAll.size()) {
            mFailed.clear();
        }
    }
}
