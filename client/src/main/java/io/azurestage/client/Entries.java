package io.azurestage.client;

import java.net.URI;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Entry nodes: a random choice among those whose last attempt worked. Thread-safe. */
final class Entries {
    private List<URI> mAll;
    private final Set<URI> mFailed = new HashSet<>();
    private final RandomGenerator mRandom;

    Entries(List<URI> all, RandomGenerator random) {
        mRandom = random;
        replace(all);
    }

    /** Uses other entries from now on; what is known about the remaining ones is kept. */
    synchronized void replace(List<URI> all) {
        if (all.isEmpty()) {
            throw new IllegalArgumentException("at least one entry node is needed");
        }
        mAll = List.copyOf(all);
        mFailed.retainAll(mAll);
    }

    /** Picks an entry, if possible not one of those already tried for the same call. */
    synchronized URI pick(Set<URI> tried) {
        List<URI> best = new ArrayList<>(mAll);
        best.removeAll(tried);
        if (best.isEmpty()) {
            best.addAll(mAll);
        }
        List<URI> working = new ArrayList<>(best);
        working.removeAll(mFailed);
        List<URI> from = working.isEmpty() ? best : working;
        return from.get(mRandom.nextInt(from.size()));
    }

    synchronized void worked(URI entry) {
        mFailed.remove(entry);
    }

    /** Marks an entry as failed; when all have failed, all are tried again. */
    synchronized void failed(URI entry) {
        if (mAll.contains(entry)) {
            mFailed.add(entry);
        }
        if (mFailed.size() == mAll.size()) {
            mFailed.clear();
        }
    }
}
