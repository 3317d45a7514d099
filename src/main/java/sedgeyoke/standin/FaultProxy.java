package sedgeyoke.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A TCP proxy on loopback that injects network faults: it can delay data, stall one or both directions, close all
 * connections and reject new ones. It never changes or reorders bytes. All methods may be called on any thread and take
 * effect on the event loop.
 */
public final class FaultProxy implements AutoCloseable {
    private static final int MAX_STALLED_BYTES = 1 << 20;

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final Channel listener;
    private final Set<Direction> directions = ConcurrentHashMap.newKeySet();
    private volatile long delayMs;
    private volatile boolean toTargetStalled;
    private volatile boolean fromTargetStalled;
    private volatile boolean rejecting;

    /** Listens on a loopback port, 0 for any, and forwards to a target. Must not be called on the event loop. */
    public FaultProxy(EventLoop loop, int port, InetSocketAddress target) {
        this.loop = loop;
        this.target = target;
        this.listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel client) {
                        accept(client);
                    }
                })
                .bind(Http.loopback(port))
                .syncUninterruptibly()
                .channel();
    }

    /** The address that clients of the target connect to instead. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Delays all data that is forwarded from now on. */
    public void setDelayMs(long millis) {
        delayMs = millis;
    }

    /** Sets the directions that are stalled; data of a stalled direction is forwarded after the stall. */
    public void stall(boolean toTarget, boolean fromTarget) {
        toTargetStalled = toTarget;
        fromTargetStalled = fromTarget;
        loop.execute(() -> directions.forEach(Direction::flush));
    }

    /** While enabled, closes all connections and rejects new ones. */
    public void cut(boolean enabled) {
        rejecting = enabled;
        if (enabled) {
            loop.execute(() -> directions.forEach(direction -> direction.channel.close()));
        }
    }

    private void accept(Channel client) {
        if (rejecting) {
            client.close();
            return;
        }
        Direction toTarget = new Direction(true);
        Direction fromTarget = new Direction(false);
        client.pipeline().addLast(toTarget);
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .handler(fromTarget)
                .connect(target);
        toTarget.destination = connecting.channel();
        fromTarget.destination = client;
        connecting.addListener(connected -> {
            if (connected.isSuccess()) {
                client.config().setAutoRead(true);
                connecting.channel().config().setAutoRead(true);
            } else {
                client.close();
            }
        });
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
        cut(true);
    }

    /** One direction of a connection: data that is read here is written to {@code destination}. */
    private final class Direction extends ChannelInboundHandlerAdapter {
        private final boolean towardsTarget;
        private final Deque<Object> stalledData = new ArrayDeque<>();
        private Channel channel;
        private Channel destination;
        private int stalledBytes;

        Direction(boolean towardsTarget) {
            this.towardsTarget = towardsTarget;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            directions.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            stalledData.add(message);
            stalledBytes += ((ByteBuf) message).readableBytes();
            if (stalledBytes > MAX_STALLED_BYTES) {
                channel.config().setAutoRead(false);
            }
            if (delayMs > 0) {
                loop.schedule(this::flush, delayMs, TimeUnit.MILLISECONDS);
            } else {
                flush();
            }
        }

        private boolean stalled() {
            return towardsTarget ? toTargetStalled : fromTargetStalled;
        }

        private void flush() {
            if (stalled()) {
                return;
            }
            List<Object> out = new ArrayList<>(stalledData);
            stalledData.clear();
            stalledBytes = 0;
            out.forEach(data -> destination.write(data));
            destination.flush();
            channel.config().setAutoRead(true);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            directions.remove(this);
            if (!stalled()) {
                flush();
                destination.close();
            }
            stalledData.forEach(ReferenceCountUtil::release);
            stalledData.clear();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
