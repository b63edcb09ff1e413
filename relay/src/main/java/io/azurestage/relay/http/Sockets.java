package io.azurestage.relay.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * Selects the Netty transport: native epoll where its library can be loaded, because it needs less
 * processor time per wake-up, and Java NIO elsewhere.
 */
public final class Sockets {
    private static final boolean NATIVE = Epoll.isAvailable();

    /** Largest number of reads from one connection before others have their turn. */
    private static final int MAX_READS_PER_EVENT = 16;

    /** Largest number of bytes that the system keeps for a client's connection, each way. */
    static final int BUFFER_BYTES = 256 << 10;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2 << 10;
    private static final int MAX_READ_BYTES = 64 << 10;

    private Sockets() {}

    /**
     * Creates an event loop for this transport.
     *
     * @param name name of the event loop's thread
     * @return a group with a single event loop
     */
    public static MultiThreadIoEventLoopGroup eventLoop(String name) {
        IoHandlerFactory io = NATIVE ? EpollIoHandler.newFactory() : NioIoHandler.newFactory();
        return new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(name), io);
    }

    /**
     * Returns receive buffers of the usual sizes; see {@link #receiveBuffers(int)}.
     *
     * @return an allocator for one kind of connections
     */
    public static RecvByteBufAllocator receiveBuffers() {
        return receiveBuffers(MAX_READ_BYTES);
    }

    /**
     * Returns receive buffers for connections whose end must be noticed together with the bytes
     * before it. Epoll reports both at once; a selector does not, so a read continues until the
     * socket is empty.
     *
     * @param maxBytes largest buffer for a read
     * @return an allocator for one kind of connections
     */
    static RecvByteBufAllocator receiveBuffers(int maxBytes) {
        AdaptiveRecvByteBufAllocator buffers =
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, maxBytes);
        buffers.maxMessagesPerRead(MAX_READS_PER_EVENT);
        return buffers.respectMaybeMoreData(NATIVE);
    }

    /**
     * Returns the class of server channels.
     *
     * @return a channel class for this transport
     */
    public static Class<? extends ServerChannel> server() {
        return NATIVE ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }

    /**
     * Returns the class of client channels.
     *
     * @return a channel class for this transport
     */
    public static Class<? extends SocketChannel> client() {
        return NATIVE ? EpollSocketChannel.class : NioSocketChannel.class;
    }
}
