package io.azurestage.relay.entry;

import io.azurestage.core.admission.ChainKey;
import io.azurestage.core.calls.CallSource;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.event.EventType;
import io.azurestage.core.route.Route;
import io.azurestage.core.routing.AttemptResult;
import io.azurestage.relay.call.CallHandle;
import io.azurestage.relay.call.CallListener;
import io.azurestage.relay.call.CallResult;
import io.azurestage.relay.call.CallResult.Answered.Run;
import io.azurestage.relay.call.CallSpec;
import io.azurestage.relay.call.LoadReport;
import io.azurestage.relay.http.Exchange;
import io.azurestage.relay.http.Field;
import io.azurestage.relay.http.Fields;
import io.azurestage.relay.http.Reply;
import io.azurestage.relay.owner.Owner;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** One request of a caller: its attempts one after the other, and its answer. */
final class EntryCall implements CallListener, Runnable {
    /** Nodes that are asked in turn for a request that none of them has run. */
    private static final int MAX_PLACES = 4;

    /** Statuses that a server takes for the failure of its call. */
    private static final int FAILURE_FROM = 400;

    private static final Duration COME_BACK = Duration.ofSeconds(1);

    /** The node beside the server answers first; this is the answer's way back. */
    private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    private final Entry mEntry;
    private final Route mRoute;
    private final ChainKey mChain;
    private final Optional<CallSource> mParent;
    private final Exchange mExchange;
    private final long mArrived;
    private final Set<NodeIdentity> mTried = new HashSet<>();

    /** A server's answer that it failed, which is delivered if no other attempt does better. */
    private CallResult.Answered mFailure;

    private CallSpec mSpec;
    private CallHandle mAttempt;
    private Placement.Place mPlace;
    private ScheduledFuture<?> mTimer;
    private long mAttemptAt;
    private int mPlaces;
    private int mRuns;
    private boolean mAttemptEnded;
    private boolean mMayHaveRun;
    private boolean mDone;

    EntryCall(
            Entry entry,
            Route route,
            CallSpec spec,
            ChainKey chain,
            Optional<CallSource> parent,
            Exchange exchange,
            long arrived) {
        mEntry = entry;
        mRoute = route;
        mSpec = spec;
        mChain = chain;
        mParent = parent;
        mExchange = exchange;
        mArrived = arrived;
    }

    void start() {
        mExchange.onGone(this::callerGone);
        long wait = mSpec.deadlineNanos() - mEntry.time().nanos() + LATE_NANOS;
        mTimer = mEntry.loop().schedule(this, wait, TimeUnit.NANOSECONDS);
        place(null);
    }

    private void place(CallResult last) {
        Optional<Placement.Place> place = mEntry.placement().choose(mSpec.service(), mTried);
        if (place.isEmpty()) {
            giveUp(last != null ? last : new CallResult.NotRun("no-server", COME_BACK, false));
            return;
        }
        mPlace = place.get();
        int number = ++mPlaces;
        mTried.add(mPlace.pick().endpoint().node());
        mAttemptAt = mEntry.time().nanos();
        mAttemptEnded = false;
        CallHandle handle = mPlace.target().start(mSpec, this);
        // An attempt that ends at once may have been followed by another one already.
        if (!mAttemptEnded && mPlaces == number) {
            mAttempt = handle;
        }
    }

    /** The attempt has ended. */
    @Override
    public void done(CallResult result, LoadReport load) {
        mAttemptEnded = true;
        mAttempt = null;
        long took = mEntry.time().nanos() - mAttemptAt;
        if (load.load() >= 0) {
            mPlace.pick().faults(load.faults());
        }
        mPlace.pick().done(routing(result), took, load.load());
        if (mDone) {
            return;
        }
        mEntry.learn(mChain, mParent, load);
        if (result instanceof CallResult.Answered a && !a.notRun()) {
            if (a.run() == Run.ENDED) {
                deliver(a);
                return;
            }
            mFailure = a;
        }
        if (result instanceof CallResult.NotRun n) {
            if (n.elsewhere() && mPlaces < MAX_PLACES && isTimeLeft()) {
                place(result);
            } else {
                giveUp(result);
            }
            return;
        }
        if (result instanceof CallResult.MaybeRun || result == mFailure) {
            mMayHaveRun = true;
            mRuns++;
        }
        boolean mayRepeat = mRoute.idempotent() || !mMayHaveRun;
        boolean attemptsLeft = mRuns < mRoute.maxAttempts() && mPlaces < MAX_PLACES;
        if (mayRepeat && attemptsLeft && isTimeLeft()) {
            mEntry.metrics().retried(mSpec.workClass());
            String granted = Boolean.toString(load.retryGranted());
            record(EventType.RETRY_STARTED, Map.of("after", describe(result), "granted", granted));
            mSpec = mSpec.asRetry(load.retryGranted());
            place(result);
            return;
        }
        giveUp(result);
    }

    private boolean isTimeLeft() {
        return mSpec.deadlineNanos() - mEntry.time().nanos() > LATE_NANOS;
    }

    private void deliver(CallResult.Answered a) {
        answer(new Reply(a.status(), a.fields(), a.body()), a.status() < 500 ? null : "server");
    }

    private void giveUp(CallResult result) {
        if (mFailure != null) {
            deliver(mFailure);
        } else if (mMayHaveRun) {
            answer(Reply.text(502, "the answer was lost\n"), describe(result));
        } else if (result instanceof CallResult.NotRun n) {
            answer(Replies.comeBack("not run: " + n.reason(), n.retryAfter()), describe(result));
        } else {
            answer(Replies.comeBack("not run: refused by the server", COME_BACK), describe(result));
        }
    }

    /** The request's time has run out. */
    @Override
    public void run() {
        if (mAttempt != null) {
            mAttempt.cancel();
            mAttempt = null;
            mPlace.pick().done(AttemptResult.FAILED, mEntry.time().nanos() - mAttemptAt, -1);
        }
        if (mFailure != null) {
            deliver(mFailure);
        } else {
            answer(Reply.text(504, "no answer in time\n"), "timeout");
        }
    }

    private void answer(Reply reply, String failure) {
        if (mDone) {
            return;
        }
        finish();
        if (mParent.isPresent() && reply.status() >= FAILURE_FROM) {
            mEntry.callFailed(mParent.get());
        }
        Duration took = Duration.ofNanos(mEntry.time().nanos() - mArrived);
        mEntry.metrics().answered(mSpec.workClass(), reply.status(), took);
        if (failure != null) {
            record(
                    EventType.ATTEMPT_FAILED,
                    Map.of("status", Integer.toString(reply.status()), "cause", failure));
        }
        mExchange.reply(withId(reply));
    }

    /** Servers repeat the request's id; answers of this node get it here. */
    private Reply withId(Reply reply) {
        Field id = mEntry.idField(mSpec.requestId());
        if (Fields.first(reply.fields(), id.name()).isPresent()) {
            return reply;
        }
        List<Field> fields = new ArrayList<>(reply.fields());
        fields.add(id);
        return new Reply(reply.status(), fields, reply.body());
    }

    private void callerGone() {
        if (mDone) {
            return;
        }
        finish();
        record(EventType.REQUEST_CANCELLED, Map.of());
        if (mAttempt != null) {
            mAttempt.cancel();
            mAttempt = null;
            mPlace.pick().done(AttemptResult.CANCELLED, 0, -1);
        }
    }

    private void finish() {
        mDone = true;
        mTimer.cancel(false);
        mEntry.ended();
    }

    private void record(EventType type, Map<String, String> fields) {
        Map<String, String> all = new HashMap<>(fields);
        all.put("operation", mRoute.name());
        all.put("service", mSpec.service());
        all.put("class", mSpec.workClass().name());
        all.put("places", Integer.toString(mPlaces));
        long took = mEntry.time().nanos() - mArrived;
        all.put("tookMillis", Long.toString(TimeUnit.NANOSECONDS.toMillis(took)));
        if (mPlace != null) {
            all.put("node", mPlace.pick().endpoint().node().nodeId());
        }
        mEntry.events().record(type, mSpec.requestId(), "", all);
    }

    private static AttemptResult routing(CallResult result) {
        if (result instanceof CallResult.Answered a) {
            return switch (a.run()) {
                case ENDED -> AttemptResult.ANSWERED;
                case FAILED -> AttemptResult.FAILED;
                case REFUSED -> AttemptResult.REFUSED;
            };
        }
        if (result instanceof CallResult.NotRun n) {
            if (n.reason().equals(Owner.RETRY_BUDGET)) {
                return AttemptResult.CANCELLED;
            }
            if (n.reason().equals(Owner.SERVER_LEAVING) || n.reason().equals(Owner.STOPPING)) {
                return AttemptResult.DRAINING;
            }
            return n.elsewhere() ? AttemptResult.FAILED : AttemptResult.REFUSED;
        }
        return AttemptResult.FAILED;
    }

    private static String describe(CallResult result) {
        if (result instanceof CallResult.NotRun n) {
            return "not run: " + n.reason();
        }
        if (result instanceof CallResult.MaybeRun m) {
            return "maybe run: " + m.reason();
        }
        boolean failed = result instanceof CallResult.Answered a && a.run() == Run.FAILED;
        return failed ? "the server failed" : "the server refused it";
    }
}
