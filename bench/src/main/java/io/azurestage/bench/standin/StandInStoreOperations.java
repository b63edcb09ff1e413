package io.azurestage.bench.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.azurestage.core.time.TimeSource;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** Operations of the API on the {@link StandInStoreState}, and the open watches. Thread-safe. */
final class StandInStoreOperations {
    private final TimeSource mTime;
    private final Set<StandInStoreWatch> mWatches = new HashSet<>();
    private final StandInStoreState mState = new StandInStoreState(this::publish);

    StandInStoreOperations(TimeSource time) {
        mTime = time;
    }

    synchronized ObjectNode range(JsonNode body) {
        expireLeases();
        String key = StandInStoreJson.key(body, "key");
        String end = StandInStoreJson.key(body, "range_end");
        return StandInStoreJson.range(mState.revision(), mState.range(key, end));
    }

    synchronized ObjectNode txn(JsonNode body) {
        expireLeases();
        for (JsonNode put : body.path("success")) {
            long lease = StandInStoreJson.int64(put.path("request_put"), "lease");
            if (lease != 0 && !mState.hasLease(lease)) {
                throw new IllegalArgumentException("requested lease not found");
            }
        }
        for (JsonNode c : body.path("compare")) {
            if (!matches(c)) {
                return StandInStoreJson.response(mState.revision());
            }
        }
        for (JsonNode op : body.path("success")) {
            JsonNode put = op.path("request_put");
            mState.put(
                    StandInStoreJson.key(put, "key"),
                    StandInStoreJson.bytes(put, "value"),
                    StandInStoreJson.int64(put, "lease"));
        }
        return StandInStoreJson.response(mState.revision()).put("succeeded", true);
    }

    private boolean matches(JsonNode compare) {
        if (!"MOD".equals(compare.path("target").asText())
                || !"EQUAL".equals(compare.path("result").asText())) {
            throw new IllegalArgumentException("only compare of MOD with EQUAL is supported");
        }
        return mState.modRevision(StandInStoreJson.key(compare, "key"))
                == StandInStoreJson.int64(compare, "mod_revision");
    }

    synchronized ObjectNode grant(JsonNode body) {
        long seconds = StandInStoreJson.int64(body, "TTL");
        long id = mState.grant(seconds, mTime.nanos());
        return leaseResponse(id, seconds);
    }

    synchronized ObjectNode keepAlive(JsonNode body) {
        expireLeases();
        long id = StandInStoreJson.int64(body, "ID");
        return StandInStoreJson.result(leaseResponse(id, mState.keepAlive(id, mTime.nanos())));
    }

    private ObjectNode leaseResponse(long id, long seconds) {
        ObjectNode n = StandInStoreJson.response(mState.revision()).put("ID", Long.toString(id));
        return seconds == 0 ? n : n.put("TTL", Long.toString(seconds));
    }

    synchronized void watch(StandInStoreWatch watch, long fromRevision) {
        ObjectNode created = StandInStoreJson.response(mState.revision()).put("created", true);
        watch.send(StandInStoreJson.result(created));
        if (fromRevision > 0 && fromRevision < mState.compactedRevision()) {
            ObjectNode end = StandInStoreJson.response(mState.revision()).put("canceled", true);
            end.put("compact_revision", Long.toString(mState.compactedRevision()));
            watch.send(StandInStoreJson.result(end));
            watch.finish();
            return;
        }
        if (fromRevision > 0) {
            send(watch, mState.changesFrom(fromRevision));
        }
        mWatches.add(watch);
    }

    synchronized void removeWatch(StandInStoreWatch watch) {
        mWatches.remove(watch);
    }

    synchronized void endWatches(Consumer<StandInStoreWatch> end) {
        Set<StandInStoreWatch> all = Set.copyOf(mWatches);
        mWatches.clear();
        all.forEach(end);
    }

    synchronized void cancelWatches(String reason) {
        ObjectNode n = StandInStoreJson.response(mState.revision()).put("canceled", true);
        n.put("cancel_reason", reason);
        endWatches(
                w -> {
                    w.send(StandInStoreJson.result(n));
                    w.finish();
                });
    }

    synchronized void expireLeases() {
        mState.expire(mTime.nanos());
    }

    synchronized void expireAllLeases() {
        mState.expireAll();
    }

    synchronized void compact() {
        mState.compact();
    }

    synchronized long revision() {
        return mState.revision();
    }

    synchronized void rollBackTo(long revision) {
        mState.rollBackTo(revision);
        endWatches(StandInStoreWatch::closeConnection);
    }

    private void publish(List<StandInStoreChange> changes) {
        Set.copyOf(mWatches).forEach(w -> send(w, changes));
    }

    private void send(StandInStoreWatch watch, List<StandInStoreChange> changes) {
        List<StandInStoreChange> matching =
                changes.stream().filter(c -> watch.matches(c.key())).toList();
        if (!matching.isEmpty()) {
            watch.send(StandInStoreJson.events(mState.revision(), matching));
        }
    }
}
