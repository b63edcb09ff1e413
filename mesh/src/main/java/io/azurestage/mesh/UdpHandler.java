package io.azurestage.mesh;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;

/** Decodes datagrams and passes on the verified messages. */
final class UdpHandler extends SimpleChannelInboundHandler<DatagramPacket> {
    /** Maximum datagram length in bytes; longer messages are sent over TCP. */
    static final int MAX_BYTES = 1200;

    private final EnvelopeCodec mCodec;
    private final Counters mCounters;
    private final Receiver mReceiver;

    UdpHandler(EnvelopeCodec codec, Counters counters, Receiver receiver) {
        mCodec = codec;
        mCounters = counters;
        mReceiver = receiver;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
        int bytes = packet.content().readableBytes();
        if (bytes > MAX_BYTES) {
            mCounters.mOversized.increment();
            return;
        }
        mCodec.decode(packet.content()).ifPresent(e -> mReceiver.receive(e, bytes));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // A datagram socket stays usable, for instance after an ICMP error for an earlier datagram.
        mCounters.mUnreachable.increment();
    }
}
