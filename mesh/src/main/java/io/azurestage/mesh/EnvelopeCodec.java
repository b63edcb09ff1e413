package io.azurestage.mesh;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import io.azurestage.core.context.Signer;
import io.azurestage.wire.generated.Envelope;
import io.azurestage.wire.generated.SignedEnvelope;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.util.Optional;

/** Signs envelopes; verifies and parses received ones and counts dropped ones. Thread-safe. */
final class EnvelopeCodec {
    private final Signer mSigner;
    private final Counters mCounters;

    EnvelopeCodec(Signer signer, Counters counters) {
        mSigner = signer;
        mCounters = counters;
    }

    byte[] encode(Envelope e) {
        byte[] body = e.toByteArray();
        return SignedEnvelope.newBuilder()
                .setEnvelope(UnsafeByteOperations.unsafeWrap(body))
                .setMac(ByteString.copyFrom(mSigner.sign(body)))
                .build()
                .toByteArray();
    }

    Optional<Envelope> decode(ByteBuf message) {
        mCounters.mBytesReceived.add(message.readableBytes());
        try {
            SignedEnvelope s = SignedEnvelope.parseFrom(ByteBufUtil.getBytes(message));
            byte[] body = s.getEnvelope().toByteArray();
            if (!mSigner.verify(body, s.getMac().toByteArray())) {
                mCounters.mForged.increment();
                return Optional.empty();
            }
            Envelope e = Envelope.parseFrom(body);
            mCounters.mMessagesReceived.increment();
            return Optional.of(e);
        } catch (InvalidProtocolBufferException ex) {
            mCounters.mMalformed.increment();
            return Optional.empty();
        }
    }
}
