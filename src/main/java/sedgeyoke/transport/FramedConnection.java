package sedgeyoke.transport;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import sedgeyoke.transport.proto.Frame;
import sedgeyoke.transport.proto.Hello;

/**
 * One connection between a forwarder and a planner, the same on both sides: TLS, frames, a greeting that fits the
 * certificate, then messages. Whatever is wrong closes it with one line and disturbs nothing else. Messages are
 * states, not steps: while the peer reads too slowly, newer ones replace older ones instead of queuing behind them.
 */
public abstract class FramedConnection extends SimpleChannelInboundHandler<ByteBuf> {
    /** Versions of the messages that this program speaks. */
    public static final int LOWEST_VERSION = 1;

    public static final int HIGHEST_VERSION = 1;
    /** The largest frame: several times the largest that a sender of ours makes. */
    public static final int LARGEST_FRAME = 256 * 1024;
    /** Connected, yet silent for so long: closed. */
    private static final int SILENT_S = 5;

    private static final int HANDSHAKE_MS = 3_000;
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int BACKLOG = 256;
    /** What may wait to be written; beyond it messages are left out. */
    private static final WriteBufferWaterMark WAITING = new WriteBufferWaterMark(32 * 1024, 128 * 1024);
    /** Who reads nothing for so many messages is let go. */
    private static final int MOST_LEFT_OUT = 50;

    private final Set<MutualTls.Role> peerRoles;
    private final String ownName;
    private final Consumer<String> log;
    private SslHandler tls;
    private Channel channel;
    private String peer;
    private MutualTls.Role role;
    private boolean greeted;
    private boolean ended;
    private int leftOut;

    protected FramedConnection(Set<MutualTls.Role> peerRoles, String ownName, Consumer<String> log) {
        this.peerRoles = peerRoles;
        this.ownName = ownName;
        this.log = log;
    }

    /** Sets up a new channel for this connection. */
    public final void install(Channel ch, SslHandler handler) {
        channel = ch;
        tls = handler;
        tls.setHandshakeTimeoutMillis(HANDSHAKE_MS);
        ch.config().setWriteBufferWaterMark(WAITING);
        ChannelPipeline p = ch.pipeline();
        p.addLast(
                tls,
                new ReadTimeoutHandler(SILENT_S, TimeUnit.SECONDS),
                new LengthFieldBasedFrameDecoder(LARGEST_FRAME, 0, 4, 0, 4),
                new LengthFieldPrepender(4),
                this);
    }

    /** Connects to an address, with this connection on it; the listener hears on the loop what became of that. */
    public final void dial(EventLoop loop, MutualTls files, InetSocketAddress to, Consumer<Boolean> done) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        install(ch, files.handler(ch));
                    }
                })
                .connect(to)
                .addListener(connected -> loop.execute(() -> done.accept(connected.isSuccess())));
    }

    /** Listens, with a connection of its own for whoever comes; returns the address. Not to be called on the loop. */
    public static InetSocketAddress listen(EventLoop loop, InetSocketAddress at, Consumer<Channel> accept) {
        return (InetSocketAddress) new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        accept.accept(ch);
                    }
                })
                .bind(at)
                .syncUninterruptibly()
                .channel()
                .localAddress();
    }

    /** The peer's name, once it has greeted; null before. */
    public final String peer() {
        return greeted ? peer : null;
    }

    /** What the peer is, as its certificate says; null before that was seen. */
    public final MutualTls.Role role() {
        return role;
    }

    /** The greeting is over. */
    protected abstract void ready();

    /** A message from a peer that has greeted. */
    protected abstract void message(Frame frame) throws InvalidMessageException, InvalidProtocolBufferException;

    /** The connection is over, whether or not it ever was ready. */
    protected abstract void gone();

    /** Sends a message unless the peer reads too slowly; who reads nothing at all is let go. */
    public final void send(Frame frame) {
        if (channel.isWritable()) {
            leftOut = 0;
            channel.writeAndFlush(Unpooled.wrappedBuffer(frame.toByteArray()));
        } else if (++leftOut > MOST_LEFT_OUT) {
            close("reads nothing");
        }
    }

    /** Closes the connection and logs why, once. */
    public final void close(String why) {
        if (!ended) {
            ended = true;
            log.accept(
                    "link with " + (peer == null ? String.valueOf(channel.remoteAddress()) : peer) + " closed: " + why);
        }
        channel.close();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof SslHandshakeCompletionEvent done) {
            if (!done.isSuccess()) {
                close("no TLS: " + reason(done.cause()));
                return;
            }
            MutualTls.Peer known = MutualTls.peer(tls, peerRoles);
            if (known == null) {
                close("its certificate is no "
                        + peerRoles.stream().map(MutualTls.Role::unit).sorted().collect(Collectors.joining(" or "))
                        + "'s");
                return;
            }
            peer = known.name();
            role = known.role();
            send(Frame.newBuilder()
                    .setHello(Hello.newBuilder()
                            .setLowestVersion(LOWEST_VERSION)
                            .setHighestVersion(HIGHEST_VERSION)
                            .setName(ownName))
                    .build());
        }
    }

    private static String reason(Throwable cause) {
        Throwable root = cause;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return String.valueOf(root.getMessage());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) throws IOException, InvalidMessageException {
        if (peer == null || ended) {
            return; // nothing is believed before TLS has said who it is
        }
        Frame frame = Frame.parseFrom(ByteBufUtil.getBytes(bytes));
        if (greeted) {
            message(frame);
        } else if (frame.hasHello()) {
            greet(frame.getHello());
        } else {
            close("no greeting");
        }
    }

    private void greet(Hello hello) {
        if (!hello.getName().equals(peer)) {
            close("says that it is " + printable(hello.getName()));
        } else if (hello.getLowestVersion() > HIGHEST_VERSION || hello.getHighestVersion() < LOWEST_VERSION) {
            close("speaks versions " + hello.getLowestVersion() + " to " + hello.getHighestVersion() + ", we "
                    + LOWEST_VERSION + " to " + HIGHEST_VERSION);
        } else {
            greeted = true;
            ready();
        }
    }

    private static String printable(String text) {
        return text.substring(0, Math.min(64, text.length())).replaceAll("[^ -~]", "?");
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (!ended && greeted) {
            close("ended by the other side");
        }
        gone();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        close(reason(cause));
    }
}
