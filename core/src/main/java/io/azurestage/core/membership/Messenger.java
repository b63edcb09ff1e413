package io.azurestage.core.membership;

import io.azurestage.wire.generated.Envelope;
import io.azurestage.wire.generated.NodeRef;

/** Builds and sends this node's messages; piggybacks member updates on datagrams. */
final class Messenger {
    private final MemberTable mTable;
    private final Gossip mGossip;
    private final MessageSink mSink;
    private final NodeRef mSelf;
    private final String mReplyAddress;
    private long mSequence;

    Messenger(MemberTable table, Gossip gossip, MessageSink sink) {
        mTable = table;
        mGossip = gossip;
        mSink = sink;
        Member self = table.self();
        mSelf =
                NodeRef.newBuilder()
                        .setNodeId(self.nodeId())
                        .setIncarnation(self.node().incarnation())
                        .build();
        mReplyAddress = self.addresses().control();
    }

    long nextSequence() {
        return ++mSequence;
    }

    Envelope.Builder newMessage() {
        return Envelope.newBuilder().setFrom(mSelf).setReplyAddress(mReplyAddress);
    }

    void sendDatagram(String address, Envelope.Builder message) {
        mGossip.fill(message, mTable.peers().size() + 1);
        mSink.send(address, message, Transport.UDP);
    }

    void sendStream(String address, Envelope.Builder message) {
        mSink.send(address, message, Transport.TCP);
    }
}
