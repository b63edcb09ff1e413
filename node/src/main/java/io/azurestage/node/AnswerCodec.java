package io.azurestage.node;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.azurestage.config.WorkClass;
import io.azurestage.core.admission.ServiceLevel;
import io.azurestage.core.context.RequestId;
import io.azurestage.core.context.SignedText;
import io.azurestage.core.context.Signer;
import io.azurestage.core.time.HlcTime;
import io.azurestage.wire.generated.AnswerInfo;
import io.azurestage.wire.generated.Hlc;
import io.azurestage.wire.generated.Level;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Encodes, verifies and decodes the {@code Azurestage-Answer} header field. Thread-safe. */
final class AnswerCodec {
    // Limits the size of the header field when many services of the call graph are overloaded.
    private static final int MAX_LEVELS = 48;

    private final Signer mSigner;

    AnswerCodec(Signer signer) {
        mSigner = signer;
    }

    String encode(AnswerMeta m) {
        AnswerInfo.Builder b =
                AnswerInfo.newBuilder()
                        .setRequestId(ByteString.copyFrom(m.requestId().bytes()))
                        .setAttemptId(m.attemptId())
                        .setRan(toWire(m.ran()))
                        .setKind(m.kind())
                        .setUnusedAllowance(m.unusedAllowance())
                        .setLoad(m.load())
                        .setHlc(
                                Hlc.newBuilder()
                                        .setMillis(m.time().millis())
                                        .setCounter(m.time().counter()));
        m.levels().stream()
                .sorted(Comparator.comparingDouble(ServiceLevel::fraction))
                .limit(MAX_LEVELS)
                .forEach(
                        l ->
                                b.addLevels(
                                        Level.newBuilder()
                                                .setService(l.service())
                                                .setWorkClass(l.workClass().ordinal())
                                                .setFraction(l.fraction())));
        return SignedText.encode(b.build().toByteArray(), mSigner);
    }

    /** Decodes a header; empty if it is absent, malformed or forged. */
    Optional<AnswerMeta> decode(String header) {
        if (header == null) {
            return Optional.empty();
        }
        return SignedText.decode(header).filter(p -> p.verify(mSigner)).flatMap(this::parse);
    }

    private Optional<AnswerMeta> parse(SignedText.Parts p) {
        try {
            AnswerInfo w = AnswerInfo.parseFrom(p.data());
            List<ServiceLevel> levels = w.getLevelsList().stream().map(AnswerCodec::level).toList();
            return Optional.of(
                    new AnswerMeta(
                            RequestId.of(w.getRequestId().toByteArray()),
                            w.getAttemptId(),
                            fromWire(w.getRan()),
                            w.getKind(),
                            w.getUnusedAllowance(),
                            levels,
                            w.getLoad(),
                            new HlcTime(w.getHlc().getMillis(), w.getHlc().getCounter())));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static ServiceLevel level(Level l) {
        WorkClass[] classes = WorkClass.values();
        int index = Math.min(l.getWorkClass(), classes.length - 1);
        return new ServiceLevel(l.getService(), classes[index], l.getFraction());
    }

    private static AnswerInfo.Ran toWire(AnswerMeta.RanState ran) {
        return switch (ran) {
            case RAN -> AnswerInfo.Ran.RAN_YES;
            case NOT_RUN -> AnswerInfo.Ran.RAN_NO;
            case UNKNOWN -> AnswerInfo.Ran.RAN_UNKNOWN;
        };
    }

    private static AnswerMeta.RanState fromWire(AnswerInfo.Ran ran) {
        return switch (ran) {
            case RAN_YES -> AnswerMeta.RanState.RAN;
            case RAN_NO -> AnswerMeta.RanState.NOT_RUN;
            default -> AnswerMeta.RanState.UNKNOWN;
        };
    }
}
