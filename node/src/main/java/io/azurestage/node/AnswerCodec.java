package io.azurestage.node;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.azurestage.core.context.RequestId;
import io.azurestage.core.context.SignedText;
import io.azurestage.core.context.Signer;
import io.azurestage.core.time.HlcTime;
import io.azurestage.wire.generated.AnswerInfo;
import io.azurestage.wire.generated.Hlc;
import io.azurestage.wire.generated.Level;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Encodes and checks the {@code Azurestage-Answer} header. Thread-safe. */
final class AnswerCodec {
    // Bounds the header in a graph with many overloaded services.
    private static final int MAX_LEVELS = 32;

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
        m.levels().entrySet().stream()
                .sorted(Map.Entry.comparingByValue())
                .limit(MAX_LEVELS)
                .forEach(
                        e ->
                                b.addLevels(
                                        Level.newBuilder()
                                                .setService(e.getKey())
                                                .setFraction(e.getValue())));
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
            Map<String, Double> levels = new TreeMap<>();
            w.getLevelsList().forEach(l -> levels.put(l.getService(), l.getFraction()));
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
