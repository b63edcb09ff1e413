package io.azurestage.core.context;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.azurestage.config.WorkClass;
import io.azurestage.core.time.HlcTime;
import io.azurestage.wire.generated.ContextWire;
import io.azurestage.wire.generated.Hlc;
import io.azurestage.wire.generated.NodeRef;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Optional;

/** Encodes request contexts as signed header values and verifies received ones. Thread-safe. */
public final class ContextCodec {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int NANOS_PER_MICRO = 1_000;

    private final Signer mSigner;
    private final NodeIdentity mSelf;

    /**
     * Creates a codec.
     *
     * @param signer holds the key that all nodes share
     * @param self identity of this node, which received contexts must name as their audience
     */
    public ContextCodec(Signer signer, NodeIdentity self) {
        mSigner = signer;
        mSelf = self;
    }

    /**
     * Encodes and signs a context.
     *
     * @param c the context
     * @return a header value
     */
    public String encode(RequestContext c) {
        return SignedText.encode(toWire(c).toByteArray(), mSigner);
    }

    /**
     * Decodes and verifies a context.
     *
     * @param header the header value
     * @return the context, or the reason why it is rejected
     */
    public ContextResult decode(String header) {
        Optional<SignedText.Parts> parts = SignedText.decode(header);
        if (parts.isEmpty()) {
            return new ContextResult.Malformed(
                    "the header value is not two base64url parts separated by a dot");
        }
        if (!parts.get().verify(mSigner)) {
            return new ContextResult.Forged();
        }
        try {
            return checkAudience(fromWire(ContextWire.parseFrom(parts.get().data())));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return new ContextResult.Malformed(String.valueOf(e.getMessage()));
        }
    }

    private ContextResult checkAudience(RequestContext c) {
        return c.audience().equals(mSelf)
                ? new ContextResult.Valid(c)
                : new ContextResult.WrongAudience(c.audience());
    }

    private static ContextWire toWire(RequestContext c) {
        return ContextWire.newBuilder()
                .setRequestId(ByteString.copyFrom(c.requestId().bytes()))
                .setPartner(c.partner())
                .setWorkClass(c.workClass().ordinal())
                .setDeadlineMicros(ChronoUnit.MICROS.between(Instant.EPOCH, c.deadline()))
                .setAllowance(c.allowance())
                .setAttemptId(c.attemptId())
                .setDepth(c.depth())
                .setEntryFraction(c.entryFraction())
                .setRepeatable(c.repeatable())
                .setRetry(c.retry())
                .setAudience(
                        NodeRef.newBuilder()
                                .setNodeId(c.audience().nodeId())
                                .setIncarnation(c.audience().incarnation()))
                .setHlc(
                        Hlc.newBuilder()
                                .setMillis(c.time().millis())
                                .setCounter(c.time().counter()))
                .build();
    }

    private static RequestContext fromWire(ContextWire w) {
        WorkClass[] classes = WorkClass.values();
        if (w.getWorkClass() >= classes.length) {
            throw new IllegalArgumentException("unknown work class " + w.getWorkClass());
        }
        return new RequestContext(
                RequestId.of(w.getRequestId().toByteArray()),
                w.getPartner(),
                classes[w.getWorkClass()],
                toInstant(w.getDeadlineMicros()),
                w.getAllowance(),
                w.getAttemptId(),
                w.getDepth(),
                w.getEntryFraction(),
                w.getRepeatable(),
                w.getRetry(),
                new NodeIdentity(w.getAudience().getNodeId(), w.getAudience().getIncarnation()),
                new HlcTime(w.getHlc().getMillis(), w.getHlc().getCounter()));
    }

    private static Instant toInstant(long micros) {
        return Instant.ofEpochSecond(
                Math.floorDiv(micros, MICROS_PER_SECOND),
                Math.floorMod(micros, MICROS_PER_SECOND) * NANOS_PER_MICRO);
    }
}
