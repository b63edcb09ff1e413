package io.azurestage.relay.entry;

import io.azurestage.core.admission.ChainKey;
import io.azurestage.core.calls.ParentRequest;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.event.EventType;
import io.azurestage.core.route.Route;
import io.azurestage.core.routing.AttemptResult;
import io.azurestage.relay.call.CallHandle;
import io.azurestage.relay.call.CallListener;
import io.azurestage.relay.call.CallResult;
import io.azurestage.relay.call.CallResult.Answered.Execution;
import io.azurestage.relay.call.CallSpec;
import io.azurestage.relay.call.LoadReport;
import io.azurestage.relay.http.Exchange;
import io.azurestage.relay.http.Field;
import io.azurestage.relay.http.Fields;
import io.azurestage.relay.http.Reply;
import io.azurestage.relay.owner.LocalBackend;
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

/** One request of a caller: makes its attempts one after the other and answers the caller. */
final class EntryRequest implements CallListener, Runnable {
    /** Maximum number of nodes that a request is sent to, including those that did not run it. */
    private static final int MAX_NODES = 4;

    /** Lowest status that a backend server treats as the failure of its call. */
    private static final int MIN_FAILURE_STATUS = 400;

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    /**
     * Time allowed for the transfer of an answer to this node. The node beside the server times out
     * first, so this node waits longer than the deadline by this time.
     */
    private static final long ANSWER_TRANSIT_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    private final EntryHandler mHandler;
    private final Route mRoute;
    private final ChainKey mChain;
    private final Optional<ParentRequest> mParent;
    private final Optional<String> mPartner;
    private final Exchange mExchange;
    private final long mArrivedNanos;
    private final Set<NodeIdentity> mTriedNodes = new HashSet<>();

    /** Answer of a server that failed, delivered if no other attempt gives a better result. */
    private CallResult.Answered mServerFailure;

    private CallSpec mSpec;
    private CallHandle mAttempt;
    private Placement.Place mSelection;
    private ScheduledFuture<?> mTimer;
    private long mAttemptStartNanos;
    private int mNodesTried;
    private int mPossibleRuns;
    private boolean mAttemptEnded;
    private boolean mMayHaveRun;
    private boolean mDone;

    EntryRequest(
            EntryHandler handler,
            Route route,
            CallSpec spec,
            ChainKey chain,
            Optional<ParentRequest> parent,
            Optional<String> partner,
            Exchange exchange,
            long arrivedNanos) {
        mHandler = handler;
        mRoute = route;
        mSpec = spec;
        mChain = chain;
        mParent = parent;
        mPartner = partner;
        mExchange = exchange;
        mArrivedNanos = arrivedNanos;
    }

    void start() {
        mExchange.onGone(this::callerDisconnected);
        long timeoutNanos = mSpec.deadlineNanos() - mHandler.time().nanos() + ANSWER_TRANSIT_NANOS;
        mTimer = mHandler.loop().schedule(this, timeoutNanos, TimeUnit.NANOSECONDS);
        startAttempt(null);
    }

    private void startAttempt(CallResult previous) {
        Optional<Placement.Place> selection =
                mHandler.placement().choose(mSpec.service(), mTriedNodes);
        if (selection.isEmpty()) {
            giveUp(
                    previous != null
                            ? previous
                            : new CallResult.NotRun("no-server", RETRY_AFTER, false));
            return;
        }
        mSelection = selection.get();
        int attempt = ++mNodesTried;
        mTriedNodes.add(mSelection.pick().endpoint().node());
        mAttemptStartNanos = mHandler.time().nanos();
        mAttemptEnded = false;
        CallHandle handle = mSelection.target().start(mSpec, this);
        // The attempt may have ended during start(), and done() may have started another one.
        if (!mAttemptEnded && mNodesTried == attempt) {
            mAttempt = handle;
        }
    }

    /** Answers the caller, or starts another attempt if the result and the limits allow it. */
    @Override
    public void done(CallResult result, LoadReport load) {
        mAttemptEnded = true;
        mAttempt = null;
        long tookNanos = mHandler.time().nanos() - mAttemptStartNanos;
        if (load.load() >= 0) {
            mSelection.pick().faults(load.faultRate());
            mSelection.pick().divert(load.diverted());
        }
        mSelection.pick().done(routingResult(result), tookNanos, load.load());
        if (mDone) {
            return;
        }
        mHandler.applyLoadReport(mChain, mParent, load);
        if (result instanceof CallResult.Answered a && !a.notRun()) {
            if (a.execution() == Execution.COMPLETED) {
                deliver(a);
                return;
            }
            mServerFailure = a;
        }
        if (result instanceof CallResult.NotRun n) {
            if (n.retryElsewhere() && mNodesTried < MAX_NODES && hasTimeForAttempt()) {
                startAttempt(result);
            } else {
                giveUp(result);
            }
            return;
        }
        if (result instanceof CallResult.MaybeRun || result == mServerFailure) {
            mMayHaveRun = true;
            mPossibleRuns++;
        }
        boolean mayRetry = mRoute.idempotent() || !mMayHaveRun;
        boolean attemptsLeft = mPossibleRuns < mRoute.maxAttempts() && mNodesTried < MAX_NODES;
        if (mayRetry && attemptsLeft && hasTimeForAttempt()) {
            mHandler.metrics().retried(mSpec.workClass());
            String granted = Boolean.toString(load.retryGranted());
            record(EventType.RETRY_STARTED, Map.of("after", describe(result), "granted", granted));
            mSpec = mSpec.asRetry(load.retryGranted());
            startAttempt(result);
            return;
        }
        giveUp(result);
    }

    private boolean hasTimeForAttempt() {
        return mSpec.deadlineNanos() - mHandler.time().nanos() > ANSWER_TRANSIT_NANOS;
    }

    private void deliver(CallResult.Answered a) {
        answer(new Reply(a.status(), a.fields(), a.body()), a.status() < 500 ? null : "server");
    }

    private void giveUp(CallResult result) {
        if (mServerFailure != null) {
            deliver(mServerFailure);
        } else if (mMayHaveRun) {
            answer(Reply.text(502, "the answer was lost\n"), describe(result));
        } else if (result instanceof CallResult.NotRun n) {
            refuse(n.reason(), n.retryAfter(), describe(result));
        } else {
            refuse("refused by the server", RETRY_AFTER, describe(result));
        }
    }

    private void refuse(String reason, Duration retryAfter, String cause) {
        mPartner.ifPresent(mHandler::giveBack);
        answer(Replies.retryLater("not run: " + reason, retryAfter), cause);
    }

    /** Handles the timeout of the request. */
    @Override
    public void run() {
        if (mAttempt != null) {
            mAttempt.cancel();
            mAttempt = null;
            mSelection
                    .pick()
                    .done(AttemptResult.FAILED, mHandler.time().nanos() - mAttemptStartNanos, -1);
        }
        if (mServerFailure != null) {
            deliver(mServerFailure);
        } else {
            answer(Reply.text(504, "no answer in time\n"), "timeout");
        }
    }

    private void answer(Reply reply, String failure) {
        if (mDone) {
            return;
        }
        finish();
        if (mParent.isPresent() && reply.status() >= MIN_FAILURE_STATUS) {
            mHandler.callFailed(mParent.get());
        }
        Duration took = Duration.ofNanos(mHandler.time().nanos() - mArrivedNanos);
        mHandler.metrics().answered(mSpec.workClass(), reply.status(), took);
        if (failure != null) {
            record(
                    EventType.ATTEMPT_FAILED,
                    Map.of("status", Integer.toString(reply.status()), "cause", failure));
        }
        mExchange.reply(withId(reply));
    }

    /** Adds the request id, which answers of this node lack; servers send it themselves. */
    private Reply withId(Reply reply) {
        Field id = mHandler.idField(mSpec.requestId());
        if (Fields.first(reply.fields(), id.name()).isPresent()) {
            return reply;
        }
        List<Field> fields = new ArrayList<>(reply.fields());
        fields.add(id);
        return new Reply(reply.status(), fields, reply.body());
    }

    private void callerDisconnected() {
        if (mDone) {
            return;
        }
        finish();
        record(EventType.REQUEST_CANCELLED, Map.of());
        if (mAttempt != null) {
            mAttempt.cancel();
            mAttempt = null;
            mSelection.pick().done(AttemptResult.CANCELLED, 0, -1);
        }
    }

    private void finish() {
        mDone = true;
        mTimer.cancel(false);
        mHandler.requestEnded();
    }

    private void record(EventType type, Map<String, String> fields) {
        Map<String, String> all = new HashMap<>(fields);
        all.put("operation", mRoute.name());
        all.put("service", mSpec.service());
        all.put("class", mSpec.workClass().name());
        all.put("places", Integer.toString(mNodesTried));
        long tookNanos = mHandler.time().nanos() - mArrivedNanos;
        all.put("tookMillis", Long.toString(TimeUnit.NANOSECONDS.toMillis(tookNanos)));
        if (mSelection != null) {
            all.put("node", mSelection.pick().endpoint().node().nodeId());
        }
        mHandler.events().record(type, mSpec.requestId(), "", all);
    }

    private static AttemptResult routingResult(CallResult result) {
        if (result instanceof CallResult.Answered a) {
            return switch (a.execution()) {
                case COMPLETED -> AttemptResult.ANSWERED;
                case FAILED -> AttemptResult.FAILED;
                case REFUSED -> AttemptResult.REFUSED;
            };
        }
        if (result instanceof CallResult.NotRun n) {
            if (n.reason().equals(LocalBackend.RETRY_BUDGET)) {
                return AttemptResult.CANCELLED;
            }
            if (n.reason().equals(LocalBackend.SERVER_LEAVING)
                    || n.reason().equals(LocalBackend.STOPPING)) {
                return AttemptResult.DRAINING;
            }
            boolean full = !n.retryElsewhere() || n.reason().equals(LocalBackend.SERVER_LIMIT);
            return full ? AttemptResult.REFUSED : AttemptResult.FAILED;
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
        boolean failed =
                result instanceof CallResult.Answered a && a.execution() == Execution.FAILED;
        return failed ? "the server failed" : "the server refused it";
    }
}
