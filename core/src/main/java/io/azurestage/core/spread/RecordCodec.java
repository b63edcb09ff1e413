package io.azurestage.core.spread;

import com.google.protobuf.ByteString;
import io.azurestage.wire.generated.ConfigRecordWire;
import io.azurestage.wire.generated.ConfigVersion;
import java.time.Instant;
import java.util.Optional;

/** Converts records and versions to messages and back. */
final class RecordCodec {
    private RecordCodec() {}

    static ConfigRecordWire toWire(ConfigRecord r) {
        return ConfigRecordWire.newBuilder()
                .setNumber(r.number())
                .setChangeId(r.changeId())
                .setAuthor(r.author())
                .setAcceptedAtMillis(r.acceptedAt().toEpochMilli())
                .setDocument(ByteString.copyFromUtf8(r.document()))
                .build();
    }

    static Optional<ConfigRecord> fromWire(ConfigRecordWire w) {
        if (w.getNumber() < 1 || w.getChangeId().isEmpty() || !fits(w.getDocument().size())) {
            return Optional.empty();
        }
        return Optional.of(
                new ConfigRecord(
                        w.getNumber(),
                        w.getChangeId(),
                        w.getAuthor(),
                        Instant.ofEpochMilli(w.getAcceptedAtMillis()),
                        w.getDocument().toStringUtf8()));
    }

    static boolean fits(int documentBytes) {
        return documentBytes <= ConfigRecord.MAX_DOCUMENT_BYTES;
    }

    static ConfigVersion toWire(VersionId v) {
        return ConfigVersion.newBuilder().setNumber(v.number()).setChangeId(v.changeId()).build();
    }

    static VersionId fromWire(ConfigVersion w) {
        return w.getNumber() < 1 ? VersionId.NONE : new VersionId(w.getNumber(), w.getChangeId());
    }
}
