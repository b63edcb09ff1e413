package io.azurestage.core.once;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.context.SignedText;
import io.azurestage.core.context.Signer;
import io.azurestage.wire.generated.NodeRef;
import io.azurestage.wire.generated.TicketWire;
import java.time.Instant;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Permission to run one non-idempotent request at one node incarnation only.
 *
 * @param owner the only incarnation that may run the request
 * @param service service of the owner's backend server
 * @param partner partner that the ticket was issued to
 * @param nonce random id of the ticket, hexadecimal
 * @param expiresAt time from which the owner rejects the ticket, by its own clock
 */
public record Ticket(
        NodeIdentity owner, String service, String partner, String nonce, Instant expiresAt) {

    /**
     * Signs the ticket and encodes it as a header value.
     *
     * @param signer holds the key that all nodes share
     * @return value for the {@code Idempotency-Key} header
     */
    public String encode(Signer signer) {
        TicketWire w =
                TicketWire.newBuilder()
                        .setOwner(
                                NodeRef.newBuilder()
                                        .setNodeId(owner.nodeId())
                                        .setIncarnation(owner.incarnation()))
                        .setService(service)
                        .setPartner(partner)
                        .setNonce(ByteString.copyFrom(HexFormat.of().parseHex(nonce)))
                        .setExpiresAtMillis(expiresAt.toEpochMilli())
                        .build();
        return SignedText.encode(w.toByteArray(), signer);
    }

    /**
     * Decodes a header value.
     *
     * @param text the header value
     * @param signer holds the key that all nodes share
     * @return the ticket, or empty if it is malformed or was not signed with this key
     */
    public static Optional<Ticket> decode(String text, Signer signer) {
        Optional<SignedText.Parts> parts = SignedText.decode(text);
        if (parts.isEmpty() || !parts.get().verify(signer)) {
            return Optional.empty();
        }
        try {
            TicketWire w = TicketWire.parseFrom(parts.get().data());
            return Optional.of(
                    new Ticket(
                            new NodeIdentity(
                                    w.getOwner().getNodeId(), w.getOwner().getIncarnation()),
                            w.getService(),
                            w.getPartner(),
                            HexFormat.of().formatHex(w.getNonce().toByteArray()),
                            Instant.ofEpochMilli(w.getExpiresAtMillis())));
        } catch (InvalidProtocolBufferException e) {
            return Optional.empty();
        }
    }
}
