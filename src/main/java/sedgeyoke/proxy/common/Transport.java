package sedgeyoke.proxy.common;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.PreferHeapByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import sedgeyoke.body.BodyLimits;

/** The transport of connections: TCP, or in-process queues with which {@code JitWarmUp} runs the same code. */
public enum Transport {
    /** TCP. */
    SOCKETS {
        @Override
        public Bootstrap client(EventLoop loop) {
            return new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.ALLOCATOR, HEAP_BUFFERS)
                    .option(ChannelOption.TCP_NODELAY, true);
        }

        @Override
        public ServerBootstrap server(EventLoop loop) {
            return new ServerBootstrap()
                    .group(loop)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .childOption(ChannelOption.ALLOCATOR, HEAP_BUFFERS)
                    .childOption(ChannelOption.TCP_NODELAY, true);
        }

        @Override
        public SocketAddress at(InetSocketAddress address) {
            return address;
        }

        @Override
        public PrintStream log() {
            return System.err;
        }
    },
    /** Netty's local transport, without sockets. */
    INSIDE {
        @Override
        public Bootstrap client(EventLoop loop) {
            return new Bootstrap().group(loop).channel(LocalChannel.class);
        }

        @Override
        public ServerBootstrap server(EventLoop loop) {
            return new ServerBootstrap().group(loop).channel(LocalServerChannel.class);
        }

        @Override
        public SocketAddress at(InetSocketAddress address) {
            // Not toString, which includes the host name where it is known: both ends must get the same address.
            return new LocalAddress(address.getAddress().getHostAddress() + ":" + address.getPort());
        }

        @Override
        public PrintStream log() {
            return new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8);
        }
    };

    private static final int BACKLOG = 1024;

    /**
     * Sockets are read into the heap. What a slow peer keeps waiting is then limited by one budget. Direct memory has a
     * much lower limit, at which each allocation blocks the event loop; it is used only within a system call.
     */
    private static final ByteBufAllocator HEAP_BUFFERS =
            new PreferHeapByteBufAllocator(UnpooledByteBufAllocator.DEFAULT);

    /** A bootstrap for a listener that the platform opened, and from which other processes may accept as well. */
    public ServerBootstrap server(EventLoop loop, ServerSocketChannel inherited) {
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(() -> new NioServerSocketChannel(inherited))
                .option(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.ALLOCATOR, HEAP_BUFFERS)
                .childOption(ChannelOption.TCP_NODELAY, true);
    }

    /**
     * Limits how much of a streamed body is buffered on its way out: in this process by water marks, in the kernel by
     * the sizes of the socket buffers.
     */
    public static void limitBuffers(Channel channel, BodyLimits limits) {
        channel.config()
                .setWriteBufferWaterMark(
                        new WriteBufferWaterMark(limits.maxUnwrittenBytes() / 2, limits.maxUnwrittenBytes()));
        if (limits.socketBufferBytes() > 0) {
            channel.config().setOption(ChannelOption.SO_SNDBUF, limits.socketBufferBytes());
            channel.config().setOption(ChannelOption.SO_RCVBUF, limits.socketBufferBytes());
        }
    }

    /** Bytes that this process has buffered for writing; 0 once the channel is closed. */
    public static long pendingBytes(Channel channel) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    /** Whether everything that was written and flushed is in the kernel. */
    public static boolean isDrained(Channel channel) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null || buffer.isEmpty();
    }

    /**
     * Writes what waits, without waiting until the system reports room. It does so only once a third of a socket's
     * buffer is free, while it takes more as soon as the peer has acknowledged anything.
     */
    public static void tryFlush(Channel channel) {
        if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe && !isDrained(channel)) {
            unsafe.forceFlush();
        }
    }

    /** Bytes of the message that is being written which are in the kernel; 0 if none is being written. */
    public static long flushedBytes(Channel channel) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.currentProgress();
    }

    /**
     * Returns a part of a body that may be written: a copy if it has to wait, as it would keep all of its read buffer,
     * which may be many times as large. Takes ownership of the part.
     */
    public static ByteBuf compactIfWaiting(Channel channel, ByteBuf part) {
        if (isDrained(channel)) {
            return part;
        }
        ByteBuf copy = Unpooled.copiedBuffer(part);
        part.release();
        return copy;
    }

    /**
     * Whether the last read of a channel found nothing more. Otherwise the reads of this pass have ended early, and
     * more may wait, for example the end of the peer's side.
     */
    public static boolean isReadToEnd(Channel channel) {
        return channel.unsafe().recvBufAllocHandle().lastBytesRead() <= 0;
    }

    /** Bytes that have arrived at a socket and are not read yet; 0 once it is closed, and without a socket. */
    public static long unreadBytes(Channel channel) {
        if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe
                && unsafe.ch() instanceof SocketChannel socket) {
            try {
                return socket.socket().getInputStream().available();
            } catch (IOException closed) {
                return 0;
            }
        }
        return 0;
    }

    /** A bootstrap for connections to upstreams and discovery. */
    public abstract Bootstrap client(EventLoop loop);

    /** A bootstrap for a listener that this process binds itself. */
    public abstract ServerBootstrap server(EventLoop loop);

    /** The address in this transport that corresponds to an IP address. */
    public abstract SocketAddress at(InetSocketAddress address);

    /** The stream to which events of these connections are logged. */
    public abstract PrintStream log();
}
