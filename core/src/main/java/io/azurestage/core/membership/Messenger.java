package io.azurestage.core.membership;

import io.azurestage.wire.generated.Envelope;
import io.azurestage.wire.generated.NodeRef;

/** Builds this node's messages and piggybacks updates on those that travel as datagrams. */
final class Messenger {
    private final MemberTable mTable;
    private final Gossip mGossip;
    private final MessageSink mSink;
    private final NodeRef mFrom;
    private final String mReplyAddress;
    private long mSequence;

    Messenger(MemberTable table, Gossip gossip, MessageSink sink) {
        mTable = table;
        mGossip = gossip;
        mSink = sink;
        Member self = table.self();
        mFrom =
                NodeRef.newBuilder()
                        .setNodeId(self.nodeId())
                        .setIncarnation(self.node().incarnation())
                        .build();
        mReplyAddress = self.addresses().control();
    }

    long nextSequence() {
        return ++mSequence;
    }

    Envelope.Builder message() {
        return Envelope.newBuilder().setFrom(mFrom).setReplyAddress(mReplyAddress);
    }

    void datagram(String address, Envelope.Builder message) {
        mGossip.fill(message, mTable.peers().size() + 1);
        mSink.send(address, message, Transport.UDP);
    }

    void stream(String address, Envelope.Builder message) {
        mSink.send(address, message, Transport.TCP);
    }
}
