package io.azurestage.relay.link;

import io.azurestage.config.WorkClass;
import io.azurestage.core.admission.ServiceLevel;
import io.azurestage.relay.call.CallResult;
import io.azurestage.relay.call.CallResult.Answered.Execution;
import io.azurestage.relay.call.CallSpec;
import io.azurestage.relay.call.LoadReport;
import io.azurestage.relay.http.Body;
import io.azurestage.relay.http.Field;
import io.azurestage.wire.generated.link.AdmittedLevel;
import io.azurestage.wire.generated.link.CallAnswer;
import io.azurestage.wire.generated.link.CallEnd;
import io.azurestage.wire.generated.link.CallStart;
import io.azurestage.wire.generated.link.HttpField;
import io.azurestage.wire.generated.link.LinkMessage;
import io.azurestage.wire.generated.link.ServerLoad;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Converts between calls and link messages. */
final class CallMessages {
    private static final String HOST = "host";

    private CallMessages() {}

    /** Returns the first message of a call; {@link BodyChunks#rest} returns the others. */
    static LinkMessage start(long callId, CallSpec spec, long nowNanos) {
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(spec.deadlineNanos() - nowNanos);
        CallStart.Builder builder =
                CallStart.newBuilder()
                        .setCallId(callId)
                        .setRequestId(spec.requestId())
                        .setMethod(spec.method())
                        .setTarget(spec.target())
                        .setBody(BodyChunks.firstChunk(spec.body()))
                        .setMore(BodyChunks.hasMore(spec.body()))
                        .setLeftMillis((int) Math.max(0, remainingMillis))
                        .setService(spec.service())
                        .setOperation(spec.operation())
                        .setWorkClass(spec.workClass().ordinal())
                        .setOrder(spec.order())
                        .setFraction(spec.fraction())
                        .setInProgress(spec.inProgress())
                        .setRepeat(spec.repeat())
                        .setRetry(spec.retry())
                        .setGranted(spec.granted())
                        .setIdempotent(spec.idempotent())
                        .setCallerService(spec.callerService());
        builder.addFields(HttpField.newBuilder().setName(HOST).setValue(spec.host()));
        for (Field f : spec.fields()) {
            if (!f.name().equalsIgnoreCase(HOST)) {
                builder.addFields(HttpField.newBuilder().setName(f.name()).setValue(f.value()));
            }
        }
        return LinkMessage.newBuilder().setStart(builder).build();
    }

    /** Converts a start message to a call; its first header field is the host. */
    static CallSpec toCallSpec(CallStart message, Body body, long nowNanos) {
        List<Field> fields = new ArrayList<>(message.getFieldsCount());
        for (int i = 1; i < message.getFieldsCount(); i++) {
            fields.add(new Field(message.getFields(i).getName(), message.getFields(i).getValue()));
        }
        return new CallSpec(
                message.getRequestId(),
                message.getMethod(),
                message.getTarget(),
                message.getFieldsCount() == 0 ? "" : message.getFields(0).getValue(),
                fields,
                body,
                nowNanos + TimeUnit.MILLISECONDS.toNanos(message.getLeftMillis()),
                message.getService(),
                message.getOperation(),
                toWorkClass(message.getWorkClass()),
                message.getOrder(),
                message.getFraction(),
                message.getInProgress(),
                message.getRepeat(),
                message.getRetry(),
                message.getGranted(),
                message.getIdempotent(),
                message.getCallerService());
    }

    /**
     * Returns the first message of a result; {@link BodyChunks#rest} returns the others of an
     * answer.
     */
    static LinkMessage result(long callId, CallResult result, LoadReport load) {
        if (result instanceof CallResult.Answered a) {
            CallAnswer.Builder builder =
                    CallAnswer.newBuilder()
                            .setCallId(callId)
                            .setStatus(a.status())
                            .setBody(BodyChunks.firstChunk(a.body()))
                            .setMore(BodyChunks.hasMore(a.body()))
                            .setNotRun(a.notRun())
                            .setOwnFailure(a.execution() == Execution.FAILED)
                            .setLoad(toServerLoad(load));
            for (Field f : a.fields()) {
                builder.addFields(HttpField.newBuilder().setName(f.name()).setValue(f.value()));
            }
            return LinkMessage.newBuilder().setAnswer(builder).build();
        }
        CallEnd.Builder builder =
                CallEnd.newBuilder().setCallId(callId).setLoad(toServerLoad(load));
        if (result instanceof CallResult.NotRun n) {
            builder.setOutcome(CallEnd.Outcome.NOT_RUN)
                    .setReason(n.reason())
                    .setRetryAfterMillis((int) n.retryAfter().toMillis())
                    .setElsewhere(n.retryElsewhere());
        } else if (result instanceof CallResult.MaybeRun m) {
            builder.setOutcome(CallEnd.Outcome.MAYBE_RUN).setReason(m.reason());
        }
        return LinkMessage.newBuilder().setEnd(builder).build();
    }

    static CallResult.Answered toAnswered(CallAnswer message, Body body) {
        List<Field> fields = new ArrayList<>(message.getFieldsCount());
        message.getFieldsList().forEach(f -> fields.add(new Field(f.getName(), f.getValue())));
        Execution failedOrCompleted =
                message.getOwnFailure() ? Execution.FAILED : Execution.COMPLETED;
        Execution run = message.getNotRun() ? Execution.REFUSED : failedOrCompleted;
        return new CallResult.Answered(message.getStatus(), fields, body, run);
    }

    static CallResult toCallResult(CallEnd message) {
        if (message.getOutcome() == CallEnd.Outcome.NOT_RUN) {
            return new CallResult.NotRun(
                    message.getReason(),
                    Duration.ofMillis(message.getRetryAfterMillis()),
                    message.getElsewhere());
        }
        return new CallResult.MaybeRun(message.getReason());
    }

    static LoadReport toLoadReport(ServerLoad message) {
        List<ServiceLevel> levels = new ArrayList<>(message.getLevelsCount());
        for (AdmittedLevel l : message.getLevelsList()) {
            levels.add(
                    new ServiceLevel(
                            l.getService(), toWorkClass(l.getWorkClass()), l.getFraction()));
        }
        return new LoadReport(
                message.getLoad(),
                message.getFaults(),
                levels,
                message.getCalls(),
                message.getCalledByServers(),
                message.getDiverted(),
                message.getRetryGranted());
    }

    private static ServerLoad toServerLoad(LoadReport report) {
        ServerLoad.Builder builder =
                ServerLoad.newBuilder()
                        .setLoad(report.load())
                        .setFaults(report.faultRate())
                        .setRetryGranted(report.retryGranted())
                        .setCalls(report.callsPerRequest())
                        .setCalledByServers(report.calledByServers())
                        .setDiverted(report.diverted());
        for (ServiceLevel l : report.levels()) {
            builder.addLevels(
                    AdmittedLevel.newBuilder()
                            .setService(l.service())
                            .setWorkClass(l.workClass().ordinal())
                            .setFraction(l.fraction()));
        }
        return builder.build();
    }

    private static WorkClass toWorkClass(int ordinal) {
        WorkClass[] values = WorkClass.values();
        return values[Math.max(0, Math.min(values.length - 1, ordinal))];
    }
}
