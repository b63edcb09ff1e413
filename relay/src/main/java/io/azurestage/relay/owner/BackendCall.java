package io.azurestage.relay.owner;

import io.azurestage.core.admission.AdmissionController;
import io.azurestage.core.admission.AdmissionListener;
import io.azurestage.core.admission.AdmissionRequest;
import io.azurestage.core.admission.Completion;
import io.azurestage.core.admission.RefusalReason;
import io.azurestage.core.backend.BackendServer;
import io.azurestage.core.calls.ParentRequest;
import io.azurestage.core.event.EventType;
import io.azurestage.relay.call.CallHandle;
import io.azurestage.relay.call.CallListener;
import io.azurestage.relay.call.CallResult;
import io.azurestage.relay.call.CallResult.Answered.Execution;
import io.azurestage.relay.call.CallSpec;
import io.azurestage.relay.call.LoadReport;
import io.azurestage.relay.http.Field;
import io.azurestage.relay.http.Fields;
import io.azurestage.relay.http.HttpPool;
import io.azurestage.relay.http.OutboundCall;
import io.azurestage.relay.http.OutboundRequest;
import io.azurestage.relay.http.OutboundResult;
import io.azurestage.relay.http.ResponseFilter.Owner;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** One call to the local backend server: waits for a slot, is sent, and reports the result. */
final class BackendCall implements AdmissionListener, CallHandle, Consumer<OutboundResult> {
    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    /** Minimum time before the deadline for which another attempt is worthwhile. */
    private static final long MIN_RETRY_TIME_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    private static final int MISDIRECTED_REQUEST = 421;
    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int MAX_SUCCESS_STATUS = 299;
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final int GATEWAY_TIMEOUT = 504;

    private final LocalBackend mBackend;
    private final BackendServer mServer;
    private final AdmissionController mAdmission;
    private final HttpPool mPool;
    private final CallSpec mSpec;
    private final CallListener mListener;
    private final ParentRequest mParentRequest;
    private AdmissionRequest mWork;
    private OutboundCall mOutbound;
    private long mOfferedNanos;
    private long mStartedNanos;
    private boolean mHoldsSlot;
    private boolean mDone;

    BackendCall(
            LocalBackend backend,
            BackendServer server,
            AdmissionController admission,
            HttpPool pool,
            CallSpec spec,
            CallListener listener) {
        mBackend = backend;
        mServer = server;
        mAdmission = admission;
        mPool = pool;
        mSpec = spec;
        mListener = listener;
        mParentRequest =
                new ParentRequest(
                        LocalBackend.chain(spec),
                        spec.fraction(),
                        spec.repeat(),
                        spec.order(),
                        spec.deadlineNanos());
    }

    void offer() {
        mOfferedNanos = mBackend.time().nanos();
        mWork =
                new AdmissionRequest(
                        LocalBackend.PARTNER,
                        mSpec.workClass(),
                        mSpec.order(),
                        mSpec.deadlineNanos(),
                        mSpec.fraction(),
                        mSpec.repeat(),
                        mSpec.operation(),
                        mSpec.inProgress(),
                        this);
        mAdmission.offer(mWork);
    }

    /**
     * Withdraws the call if it is still queued. A call that has started is aborted only if it is
     * idempotent; otherwise it runs to its end.
     */
    @Override
    public void cancel() {
        if (mDone) {
            return;
        }
        if (withdraw()) {
            return;
        }
        if (mSpec.idempotent()) {
            mDone = true;
            if (mOutbound != null) {
                mOutbound.cancel();
            }
            release(Completion.Outcome.CANCELLED);
        }
        recordCancelled(mDone ? "running" : "kept-running");
    }

    @Override
    public boolean withdraw() {
        if (mDone || !mAdmission.cancel(mWork)) {
            return false;
        }
        mDone = true;
        recordCancelled("queued");
        return true;
    }

    private void recordCancelled(String stage) {
        long tookNanos = mBackend.time().nanos() - mOfferedNanos;
        mBackend.events()
                .record(
                        EventType.CALL_CANCELLED,
                        mSpec.requestId(),
                        "",
                        Map.of(
                                "stage", stage,
                                "operation", mSpec.operation(),
                                "tookMillis",
                                        Long.toString(TimeUnit.NANOSECONDS.toMillis(tookNanos))));
    }

    @Override
    public void onAdmitted() {
        mHoldsSlot = true;
        if (!mBackend.mayStart(mServer)) {
            // The admission controller is still dispatching, so the slot is released afterwards.
            mBackend.loop().execute(() -> finishUnsent(LocalBackend.SERVER_LEAVING));
            return;
        }
        mStartedNanos = mBackend.time().nanos();
        mBackend.metrics()
                .waited(mSpec.workClass(), Duration.ofNanos(mStartedNanos - mOfferedNanos));
        mBackend.attribution().requestStarted(mParentRequest);
        mBackend.requestSent(mSpec);
        long remaining = mSpec.deadlineNanos() - mStartedNanos;
        mOutbound = mPool.send(request(Duration.ofNanos(remaining)), this);
    }

    @Override
    public void onRefused(RefusalReason reason, Duration retryAfter) {
        String text = LocalBackend.reason(reason);
        mBackend.metrics().refused(text);
        finish(new CallResult.NotRun(text, retryAfter, reason == RefusalReason.SERVER_LIMIT));
    }

    private OutboundRequest request(Duration remaining) {
        List<Field> fields = new ArrayList<>(mSpec.fields().size() + 3);
        String remainingName = mBackend.names().remainingMillis();
        String serverName = mBackend.names().serverId();
        String callerName = mBackend.names().callerService();
        for (Field f : mSpec.fields()) {
            boolean own =
                    f.name().equalsIgnoreCase(remainingName)
                            || f.name().equalsIgnoreCase(serverName)
                            || f.name().equalsIgnoreCase(callerName);
            if (!own) {
                fields.add(f);
            }
        }
        fields.add(new Field(remainingName, Long.toString(Math.max(1, remaining.toMillis()))));
        fields.add(new Field(serverName, mServer.serverId()));
        fields.add(new Field(callerName, mSpec.callerService()));
        return new OutboundRequest(
                mSpec.method(),
                mSpec.target(),
                mSpec.host(),
                fields,
                mSpec.body(),
                remaining,
                !mSpec.idempotent(),
                this::owner);
    }

    /**
     * Servers return the request id, but may omit it when they refuse or fail. A success without it
     * belongs to no request.
     */
    private Owner owner(int status, List<Field> answer) {
        Optional<String> id = Fields.first(answer, mBackend.names().requestId());
        if (id.isEmpty()) {
            return isSuccess(status) ? Owner.OTHER_REQUEST : Owner.UNKNOWN;
        }
        return id.get().equals(mSpec.requestId()) ? Owner.THIS_REQUEST : Owner.OTHER_REQUEST;
    }

    /** A 504 means that the request ran out of time, which is not a failure of the server. */
    private static boolean isServerFailure(int status) {
        return status >= MIN_SERVER_ERROR_STATUS && status != GATEWAY_TIMEOUT;
    }

    private static boolean isSuccess(int status) {
        return status >= MIN_SUCCESS_STATUS && status <= MAX_SUCCESS_STATUS;
    }

    /** Handles the end of the request to the server. */
    @Override
    public void accept(OutboundResult result) {
        if (mDone) {
            return;
        }
        boolean callFailed = mBackend.attribution().hasFailedCall(mParentRequest, mStartedNanos);
        mBackend.attribution().requestEnded(mParentRequest);
        if (result instanceof OutboundResult.Answered a) {
            mBackend.answered(mServer, a.fields());
            handleAnswer(a, callFailed);
        } else if (result instanceof OutboundResult.NotSent n) {
            release(Completion.Outcome.FAILED);
            finish(new CallResult.NotRun(n.reason(), RETRY_AFTER, true));
        } else if (result instanceof OutboundResult.Lost l) {
            release(Completion.Outcome.FAILED);
            finish(new CallResult.MaybeRun(l.reason()));
        }
    }

    private void handleAnswer(OutboundResult.Answered a, boolean callFailed) {
        boolean notRun =
                a.status() == MISDIRECTED_REQUEST
                        || Fields.first(a.fields(), mBackend.names().notRun()).isPresent();
        if (notRun) {
            release(Completion.Outcome.SERVER_REFUSED);
            finish(new CallResult.Answered(a.status(), a.fields(), a.body(), Execution.REFUSED));
            return;
        }
        boolean signed = Fields.first(a.fields(), mBackend.names().signature()).isPresent();
        if (isSuccess(a.status()) && !signed) {
            release(Completion.Outcome.FAILED);
            finish(new CallResult.MaybeRun("the answer bears no signature of the server"));
            return;
        }
        release(Completion.Outcome.ANSWERED);
        boolean failed = isServerFailure(a.status()) && !callFailed;
        Execution run = failed ? Execution.FAILED : Execution.COMPLETED;
        finish(new CallResult.Answered(a.status(), a.fields(), a.body(), run));
    }

    private void finishUnsent(String reason) {
        if (mDone) {
            return;
        }
        release(Completion.Outcome.CANCELLED);
        finish(new CallResult.NotRun(reason, RETRY_AFTER, true));
    }

    private void release(Completion.Outcome outcome) {
        if (!mHoldsSlot) {
            return;
        }
        mHoldsSlot = false;
        if (mDone && mOutbound != null) {
            mBackend.attribution().requestEnded(mParentRequest);
        }
        long heldNanos = mStartedNanos == 0 ? 1 : mBackend.time().nanos() - mStartedNanos;
        boolean paused = mStartedNanos != 0 && mBackend.pauses().hasPausedSince(mStartedNanos);
        mAdmission.complete(
                mWork,
                new Completion(heldNanos, heldNanos, paused ? Completion.Outcome.PAUSED : outcome));
    }

    private void finish(CallResult result) {
        mDone = true;
        if (!(result instanceof CallResult.NotRun)) {
            mBackend.requestEnded(!isCompleted(result));
        }
        boolean granted = isRetryable(result) && mBackend.grantRetry(mSpec);
        if (!isCompleted(result)) {
            mBackend.events()
                    .record(
                            EventType.REQUEST_REFUSED,
                            mSpec.requestId(),
                            "",
                            Map.of(
                                    "outcome", describe(result),
                                    "server", mServer.serverId(),
                                    "operation", mSpec.operation(),
                                    "retry", granted ? "granted" : "not granted",
                                    "load", Double.toString(mAdmission.load())));
        }
        LoadReport report = mBackend.loadReport(mSpec, mAdmission);
        mListener.done(result, granted ? report.withRetryGranted() : report);
    }

    private static boolean isCompleted(CallResult result) {
        return result instanceof CallResult.Answered a && a.execution() == Execution.COMPLETED;
    }

    /** A retry is not retried again, because most routes allow two attempts. */
    private boolean isRetryable(CallResult result) {
        if (mSpec.retry()
                || mSpec.deadlineNanos() - mBackend.time().nanos() < MIN_RETRY_TIME_NANOS) {
            return false;
        }
        if (result instanceof CallResult.Answered a) {
            return a.notRun() || a.execution() == Execution.FAILED && mSpec.idempotent();
        }
        return result instanceof CallResult.MaybeRun && mSpec.idempotent();
    }

    private static String describe(CallResult result) {
        if (result instanceof CallResult.NotRun n) {
            return "not-run: " + n.reason();
        }
        if (result instanceof CallResult.MaybeRun m) {
            return "maybe-run: " + m.reason();
        }
        boolean failed =
                result instanceof CallResult.Answered a && a.execution() == Execution.FAILED;
        return failed ? "failed by the server" : "refused by the server";
    }
}
