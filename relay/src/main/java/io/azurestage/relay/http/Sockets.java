package io.azurestage.relay.http;

import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
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
 * The transport of a process: the operating system's epoll where Netty's native library loads,
 * which takes less processor time for each wake-up, and Java's selector elsewhere.
 */
public final class Sockets {
    private static final boolean NATIVE = Epoll.isAvailable();

    private Sockets() {}

    /**
     * Creates an event loop for channels of this transport.
     *
     * @param name name of its thread
     * @return a group of one event loop
     */
    public static MultiThreadIoEventLoopGroup eventLoop(String name) {
        IoHandlerFactory io = NATIVE ? EpollIoHandler.newFactory() : NioIoHandler.newFactory();
        return new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(name), io);
    }

    /**
     * Returns the class of listening channels.
     *
     * @return a class for this transport's event loops
     */
    public static Class<? extends ServerChannel> server() {
        return NATIVE ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }

    /**
     * Returns the class of connecting channels.
     *
     * @return a class for this transport's event loops
     */
    public static Class<? extends SocketChannel> client() {
        return NATIVE ? EpollSocketChannel.class : NioSocketChannel.class;
    }
}
