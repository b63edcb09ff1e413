package io.azurestage.relay.link;

import io.azurestage.config.WorkClass;
import io.azurestage.core.admission.ServiceLevel;
import io.azurestage.relay.call.CallResult;
import io.azurestage.relay.call.CallResult.Answered.Run;
import io.azurestage.relay.call.CallSpec;
import io.azurestage.relay.call.LoadReport;
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
import java.util.function.Consumer;

/** Translates between calls and messages. */
final class Messages {
    private static final String HOST = "host";

    private Messages() {}

    static void start(long callId, CallSpec s, long nowNanos, Consumer<LinkMessage> out) {
        long left = TimeUnit.NANOSECONDS.toMillis(s.deadlineNanos() - nowNanos);
        CallStart.Builder b =
                CallStart.newBuilder()
                        .setCallId(callId)
                        .setRequestId(s.requestId())
                        .setMethod(s.method())
                        .setTarget(s.target())
                        .setBody(BodyParts.first(s.body()))
                        .setMore(BodyParts.hasMore(s.body()))
                        .setLeftMillis((int) Math.max(0, left))
                        .setService(s.service())
                        .setOperation(s.operation())
                        .setWorkClass(s.workClass().ordinal())
                        .setOrder(s.order())
                        .setFraction(s.fraction())
                        .setInProgress(s.inProgress())
                        .setRepeat(s.repeat())
                        .setRetry(s.retry())
                        .setGranted(s.granted())
                        .setIdempotent(s.idempotent())
                        .setCallerService(s.callerService());
        b.addFields(HttpField.newBuilder().setName(HOST).setValue(s.host()));
        for (Field f : s.fields()) {
            if (!f.name().equalsIgnoreCase(HOST)) {
                b.addFields(HttpField.newBuilder().setName(f.name()).setValue(f.value()));
            }
        }
        out.accept(LinkMessage.newBuilder().setStart(b).build());
        BodyParts.rest(callId, s.body(), out);
    }

    /** The first field is the host. */
    static CallSpec spec(CallStart m, byte[] body, long nowNanos) {
        List<Field> fields = new ArrayList<>(m.getFieldsCount());
        for (int i = 1; i < m.getFieldsCount(); i++) {
            fields.add(new Field(m.getFields(i).getName(), m.getFields(i).getValue()));
        }
        return new CallSpec(
                m.getRequestId(),
                m.getMethod(),
                m.getTarget(),
                m.getFieldsCount() == 0 ? "" : m.getFields(0).getValue(),
                fields,
                body,
                nowNanos + TimeUnit.MILLISECONDS.toNanos(m.getLeftMillis()),
                m.getService(),
                m.getOperation(),
                workClass(m.getWorkClass()),
                m.getOrder(),
                m.getFraction(),
                m.getInProgress(),
                m.getRepeat(),
                m.getRetry(),
                m.getGranted(),
                m.getIdempotent(),
                m.getCallerService());
    }

    static void result(long callId, CallResult r, LoadReport load, Consumer<LinkMessage> out) {
        if (r instanceof CallResult.Answered a) {
            CallAnswer.Builder b =
                    CallAnswer.newBuilder()
                            .setCallId(callId)
                            .setStatus(a.status())
                            .setBody(BodyParts.first(a.body()))
                            .setMore(BodyParts.hasMore(a.body()))
                            .setNotRun(a.notRun())
                            .setOwnFailure(a.run() == Run.FAILED)
                            .setLoad(load(load));
            for (Field f : a.fields()) {
                b.addFields(HttpField.newBuilder().setName(f.name()).setValue(f.value()));
            }
            out.accept(LinkMessage.newBuilder().setAnswer(b).build());
            BodyParts.rest(callId, a.body(), out);
            return;
        }
        CallEnd.Builder b = CallEnd.newBuilder().setCallId(callId).setLoad(load(load));
        if (r instanceof CallResult.NotRun n) {
            b.setOutcome(CallEnd.Outcome.NOT_RUN)
                    .setReason(n.reason())
                    .setRetryAfterMillis((int) n.retryAfter().toMillis())
                    .setElsewhere(n.elsewhere());
        } else if (r instanceof CallResult.MaybeRun m) {
            b.setOutcome(CallEnd.Outcome.MAYBE_RUN).setReason(m.reason());
        }
        out.accept(LinkMessage.newBuilder().setEnd(b).build());
    }

    static CallResult.Answered answered(CallAnswer m, byte[] body) {
        List<Field> fields = new ArrayList<>(m.getFieldsCount());
        m.getFieldsList().forEach(f -> fields.add(new Field(f.getName(), f.getValue())));
        Run failedOrEnded = m.getOwnFailure() ? Run.FAILED : Run.ENDED;
        Run run = m.getNotRun() ? Run.REFUSED : failedOrEnded;
        return new CallResult.Answered(m.getStatus(), fields, body, run);
    }

    static CallResult ended(CallEnd m) {
        if (m.getOutcome() == CallEnd.Outcome.NOT_RUN) {
            return new CallResult.NotRun(
                    m.getReason(), Duration.ofMillis(m.getRetryAfterMillis()), m.getElsewhere());
        }
        return new CallResult.MaybeRun(m.getReason());
    }

    static LoadReport report(ServerLoad m) {
        List<ServiceLevel> levels = new ArrayList<>(m.getLevelsCount());
        for (AdmittedLevel l : m.getLevelsList()) {
            levels.add(
                    new ServiceLevel(l.getService(), workClass(l.getWorkClass()), l.getFraction()));
        }
        return new LoadReport(
                m.getLoad(),
                m.getFaults(),
                levels,
                m.getCalls(),
                m.getCalledByServers(),
                m.getRetryGranted());
    }

    private static ServerLoad load(LoadReport r) {
        ServerLoad.Builder b =
                ServerLoad.newBuilder()
                        .setLoad(r.load())
                        .setFaults(r.faults())
                        .setRetryGranted(r.retryGranted())
                        .setCalls(r.calls())
                        .setCalledByServers(r.calledByServers());
        for (ServiceLevel l : r.levels()) {
            b.addLevels(
                    AdmittedLevel.newBuilder()
                            .setService(l.service())
                            .setWorkClass(l.workClass().ordinal())
                            .setFraction(l.fraction()));
        }
        return b.build();
    }

    private static WorkClass workClass(int ordinal) {
        WorkClass[] all = WorkClass.values();
        return all[Math.max(0, Math.min(all.length - 1, ordinal))];
    }
}
