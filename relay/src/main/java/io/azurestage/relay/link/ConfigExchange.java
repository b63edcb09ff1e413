package io.azurestage.relay.link;

import com.google.protobuf.ByteString;
import io.azurestage.wire.generated.link.ConfigDocument;
import io.azurestage.wire.generated.link.ConfigFetch;
import io.azurestage.wire.generated.link.LinkMessage;
import io.azurestage.wire.generated.link.Probe;
import io.azurestage.wire.generated.link.ProbeReply;
import java.util.function.Consumer;

/**
 * Handles the messages of a link that belong to no call: probes, and the transfer of newer
 * configurations.
 */
final class ConfigExchange {
    private final LinkSelf mSelf;
    private final Consumer<LinkMessage> mOut;

    ConfigExchange(LinkSelf self, Consumer<LinkMessage> out) {
        mSelf = self;
        mOut = out;
    }

    /** Handles a message and returns true, or returns false if the message belongs to a call. */
    boolean accept(LinkMessage m) {
        switch (m.getBodyCase()) {
            case PROBE -> {
                fetchIfNewer(m.getProbe().getConfigVersion());
                ProbeReply reply =
                        ProbeReply.newBuilder()
                                .setConfigVersion(mSelf.configVersion().getAsLong())
                                .build();
                mOut.accept(LinkMessage.newBuilder().setProbeReply(reply).build());
            }
            case PROBE_REPLY -> fetchIfNewer(m.getProbeReply().getConfigVersion());
            case CONFIG_FETCH -> mSelf.document().get().ifPresent(this::sendDocument);
            case CONFIG -> mSelf.documentSink().offer(m.getConfig().getDocument().toByteArray());
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Requests the peer's configuration if its version is higher than the local one. */
    void fetchIfNewer(long peerVersion) {
        if (peerVersion > mSelf.configVersion().getAsLong()) {
            ConfigFetch fetch = ConfigFetch.getDefaultInstance();
            mOut.accept(LinkMessage.newBuilder().setConfigFetch(fetch).build());
        }
    }

    LinkMessage newProbe() {
        Probe probe =
                Probe.newBuilder().setConfigVersion(mSelf.configVersion().getAsLong()).build();
        return LinkMessage.newBuilder().setProbe(probe).build();
    }

    private void sendDocument(byte[] document) {
        ConfigDocument d =
                ConfigDocument.newBuilder()
                        .setVersion(mSelf.configVersion().getAsLong())
                        .setDocument(ByteString.copyFrom(document))
                        .build();
        mOut.accept(LinkMessage.newBuilder().setConfig(d).build());
    }
}
