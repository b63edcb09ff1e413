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

/** Encodes contexts as signed header values and checks those that arrive. Thread-safe. */
public final class ContextCodec {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int NANOS_PER_MICRO = 1_000;

    private final Signer mSigner;
    private final NodeIdentity mSelf;

    /**
     * Creates a codec.
     *
     * @param signer holds the key that all nodes share
     * @param self the identity that arriving contexts must name
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
     * Decodes and checks a context.
     *
     * @param header the header value
     * @return the context, or why it is not accepted
     */
    public ContextResult decode(String header) {
        Optional<SignedText.Parts> parts = SignedText.decode(header);
        if (parts.isEmpty()) {
            return new ContextResult.Malformed("not of the form data.code");
        }
        if (!parts.get().verify(mSigner)) {
            return new ContextResult.Forged();
        }
        try {
            return check(fromWire(ContextWire.parseFrom(parts.get().data())));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return new ContextResult.Malformed(String.valueOf(e.getMessage()));
        }
    }

    private ContextResult check(RequestContext c) {
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
            throw new IllegalArgumentException("unknown class of work " + w.getWorkClass());
        }
        return new RequestContext(
                RequestId.of(w.getRequestId().toByteArray()),
                w.getPartner(),
                classes[w.getWorkClass()],
                instant(w.getDeadlineMicros()),
                w.getAllowance(),
                w.getAttemptId(),
                w.getDepth(),
                w.getEntryFraction(),
                w.getRepeatable(),
                w.getRetry(),
                new NodeIdentity(w.getAudience().getNodeId(), w.getAudience().getIncarnation()),
                new HlcTime(w.getHlc().getMillis(), w.getHlc().getCounter()));
    }

    private static Instant instant(long micros) {
        return Instant.ofEpochSecond(
                Math.floorDiv(micros, MICROS_PER_SECOND),
                Math.floorMod(micros, MICROS_PER_SECOND) * NANOS_PER_MICRO);
    }
}
