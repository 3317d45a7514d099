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
 * A TCP proxy on loopback that can delay what passes, hold it back (stall), let it pass one way only, cut all
 * connections, and refuse new ones. Bytes keep their order and none are invented: it is a network, not an enemy. All
 * methods may be called on any thread and take effect on the loop.
 */
public final class FaultProxy implements AutoCloseable {
    private static final int MOST_HELD = 1 << 20;

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final Channel listener;
    private final Set<Side> sides = ConcurrentHashMap.newKeySet();
    private volatile long delayMs;
    private volatile boolean stalledUp;
    private volatile boolean stalledDown;
    private volatile boolean refusing;

    /** Listens on {@code port} of loopback (0 for any) and passes on to a target. Not to be called on the loop. */
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

    /** Where clients of the target connect instead. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** What passes from now on is late by so much. */
    public void delay(long ms) {
        delayMs = ms;
    }

    /** Holds back what goes to the target, what comes from it, or both; letting go passes on all that was held. */
    public void stall(boolean towardsTarget, boolean fromTarget) {
        stalledUp = towardsTarget;
        stalledDown = fromTarget;
        loop.execute(() -> sides.forEach(Side::flush));
    }

    /** Ends all connections, and refuses new ones until told otherwise. */
    public void cut(boolean on) {
        refusing = on;
        if (on) {
            loop.execute(() -> sides.forEach(s -> s.channel.close()));
        }
    }

    private void accept(Channel client) {
        if (refusing) {
            client.close();
            return;
        }
        Side towards = new Side(true);
        Side back = new Side(false);
        client.pipeline().addLast(towards);
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .handler(back)
                .connect(target);
        towards.to = connecting.channel();
        back.to = client;
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

    /** One direction of one connection: what is read here goes out on {@code to}. */
    private final class Side extends ChannelInboundHandlerAdapter {
        private final boolean up;
        private final Deque<Object> held = new ArrayDeque<>();
        private Channel channel;
        private Channel to;
        private int heldBytes;

        Side(boolean up) {
            this.up = up;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            sides.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            held.add(message);
            heldBytes += ((ByteBuf) message).readableBytes();
            if (heldBytes > MOST_HELD) {
                channel.config().setAutoRead(false);
            }
            if (delayMs > 0) {
                loop.schedule(this::flush, delayMs, TimeUnit.MILLISECONDS);
            } else {
                flush();
            }
        }

        private boolean stalled() {
            return up ? stalledUp : stalledDown;
        }

        private void flush() {
            if (stalled()) {
                return;
            }
            List<Object> out = new ArrayList<>(held);
            held.clear();
            heldBytes = 0;
            out.forEach(m -> to.write(m));
            to.flush();
            channel.config().setAutoRead(true);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            sides.remove(this);
            if (!stalled()) {
                flush();
                to.close();
            }
            held.forEach(ReferenceCountUtil::release);
            held.clear();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
