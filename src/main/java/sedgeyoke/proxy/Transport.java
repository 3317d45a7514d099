package sedgeyoke.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import sedgeyoke.body.BodyLimits;

/** What connections are made of: TCP, or queues inside the process, on which {@link JitWarmUp} runs the same code. */
enum Transport {
    /** TCP. */
    SOCKETS {
        @Override
        Bootstrap client(EventLoop loop) {
            return new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true);
        }

        @Override
        ServerBootstrap server(EventLoop loop) {
            return new ServerBootstrap()
                    .group(loop)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .childOption(ChannelOption.TCP_NODELAY, true);
        }

        @Override
        SocketAddress at(InetSocketAddress address) {
            return address;
        }

        @Override
        PrintStream log() {
            return System.err;
        }
    },
    /** No sockets at all. */
    INSIDE {
        @Override
        Bootstrap client(EventLoop loop) {
            return new Bootstrap().group(loop).channel(LocalChannel.class);
        }

        @Override
        ServerBootstrap server(EventLoop loop) {
            return new ServerBootstrap().group(loop).channel(LocalServerChannel.class);
        }

        @Override
        SocketAddress at(InetSocketAddress address) {
            // Not toString: it has the host's name too, where that is known, and there is one place for both.
            return new LocalAddress(address.getAddress().getHostAddress() + ":" + address.getPort());
        }

        @Override
        PrintStream log() {
            return new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8);
        }
    };

    private static final int BACKLOG = 1024;

    /** A listener that the platform holds, and that other processes may accept from, too. */
    ServerBootstrap server(EventLoop loop, ServerSocketChannel inherited) {
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(() -> new NioServerSocketChannel(inherited))
                .option(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true);
    }

    /**
     * Bounds what is held for a long body on its way out: in this process by water marks, in the kernel by its
     * buffers.
     */
    static void limit(Channel channel, BodyLimits limits) {
        channel.config().setWriteBufferWaterMark(new WriteBufferWaterMark(limits.ceiling() / 8, limits.ceiling() / 4));
        if (limits.socketBuffer() > 0) {
            channel.config().setOption(ChannelOption.SO_SNDBUF, limits.socketBuffer());
            channel.config().setOption(ChannelOption.SO_RCVBUF, limits.socketBuffer());
        }
    }

    /** Bytes that wait in this process to be written; 0 once the channel is closed. */
    static long pending(Channel channel) {
        ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
        return out == null ? 0 : out.totalPendingWriteBytes();
    }

    abstract Bootstrap client(EventLoop loop);

    abstract ServerBootstrap server(EventLoop loop);

    abstract SocketAddress at(InetSocketAddress address);

    /** Where what happens on these connections is written down. */
    abstract PrintStream log();
}
