package io.azurestage.core.spread;

import com.google.protobuf.ByteString;
import io.azurestage.wire.generated.ConfigRecordWire;
import io.azurestage.wire.generated.ConfigVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Optional;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Converts configuration records and version ids to and from the wire format. */
final class RecordCodec {
    private RecordCodec() {}

    /**
     * Encodes a record. The document is compressed because it makes up most of the traffic between
     * nodes.
     *
     * @throws IllegalArgumentException if the document is too long
     */
    static ConfigRecordWire toWire(ConfigRecord r) {
        byte[] document = r.document().getBytes(StandardCharsets.UTF_8);
        if (document.length > ConfigRecord.MAX_DOCUMENT_BYTES) {
            throw new IllegalArgumentException(
                    "the document of configuration version "
                            + r.number()
                            + " is longer than "
                            + ConfigRecord.MAX_DOCUMENT_BYTES
                            + " bytes; remove unused services or partners");
        }
        return ConfigRecordWire.newBuilder()
                .setNumber(r.number())
                .setChangeId(r.changeId())
                .setAuthor(r.author())
                .setAcceptedAtMillis(r.acceptedAt().toEpochMilli())
                .setDocument(deflate(document))
                .build();
    }

    /** Decodes a record; returns empty if the message is malformed or the document too long. */
    static Optional<ConfigRecord> fromWire(ConfigRecordWire w) {
        if (w.getNumber() < 1 || w.getChangeId().isEmpty()) {
            return Optional.empty();
        }
        try (InputStream in = new InflaterInputStream(w.getDocument().newInput())) {
            // The limit prevents a small message from exhausting the memory when decompressed.
            byte[] document = in.readNBytes(ConfigRecord.MAX_DOCUMENT_BYTES + 1);
            if (document.length > ConfigRecord.MAX_DOCUMENT_BYTES) {
                return Optional.empty();
            }
            return Optional.of(
                    new ConfigRecord(
                            w.getNumber(),
                            w.getChangeId(),
                            w.getAuthor(),
                            Instant.ofEpochMilli(w.getAcceptedAtMillis()),
                            new String(document, StandardCharsets.UTF_8)));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static ByteString deflate(byte[] bytes) {
        ByteString.Output out = ByteString.newOutput();
        try (OutputStream deflater = new DeflaterOutputStream(out)) {
            deflater.write(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException("compressing the document in memory failed", e);
        }
        return out.toByteString();
    }

    static ConfigVersion toWire(VersionId v) {
        return ConfigVersion.newBuilder().setNumber(v.number()).setChangeId(v.changeId()).build();
    }

    static VersionId fromWire(ConfigVersion w) {
        return w.getNumber() < 1 ? VersionId.NONE : new VersionId(w.getNumber(), w.getChangeId());
    }
}
