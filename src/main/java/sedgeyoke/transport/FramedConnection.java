package sedgeyoke.transport;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sedgeyoke.transport.proto.Frame;
import sedgeyoke.transport.proto.Hello;

/**
 * A client or server connection that exchanges length-prefixed protobuf frames over mutual TLS. Each side first sends a
 * {@link Hello} with its protocol versions and its name, which must equal the name in its certificate. Any error closes
 * the connection with one log line. Messages carry full state rather than changes, so a message that would have to wait
 * for a slow reader is dropped. All methods and callbacks run on the connection's event loop, unless they say
 * otherwise.
 */
public abstract class FramedConnection extends SimpleChannelInboundHandler<ByteBuf> {
    /** Lowest protocol version that this program supports. */
    public static final int MIN_PROTOCOL_VERSION = 1;
    /** Highest protocol version that this program supports. */
    public static final int MAX_PROTOCOL_VERSION = 1;
    /** Largest accepted frame in bytes; several times the largest that this program sends. */
    public static final int MAX_FRAME_BYTES = 256 * 1024;
    /** Default timeout of {@link #dial}. */
    public static final int CONNECT_TIMEOUT_MILLIS = 500;

    private static final int READ_TIMEOUT_SECONDS = 5;
    private static final int HANDSHAKE_TIMEOUT_MILLIS = 3_000;
    private static final int LENGTH_FIELD_BYTES = 4;
    /** Messages are dropped from the high mark on, until the buffer has shrunk to the low mark. */
    private static final WriteBufferWaterMark WRITE_BUFFER = new WriteBufferWaterMark(32 * 1024, 128 * 1024);
    /** The connection is closed after more dropped messages in a row than this. */
    private static final int MAX_DROPPED_MESSAGES = 50;

    private static final int MAX_LOGGED_NAME_LENGTH = 64;

    private final Set<PeerRole> allowedRoles;
    private final String ownName;
    private final Consumer<String> log;
    private LifecycleListener lifecycleListener = LifecycleListener.NONE;
    private SslHandler tls;
    private Channel channel;
    private PeerIdentity peer;
    private boolean ready;
    private boolean closed;
    private int droppedMessages;

    /** Observes a connection in addition to its subclass. */
    interface LifecycleListener {
        LifecycleListener NONE = new LifecycleListener() {
            @Override
            public void connectionReady() {}

            @Override
            public void connectionClosed() {}
        };

        /** Both sides have exchanged their {@link Hello}, and {@link #onReady} has accepted the peer. */
        void connectionReady();

        /** An established TCP connection has ended. */
        void connectionClosed();
    }

    /**
     * Creates a connection that has no channel yet.
     *
     * @param allowedRoles roles that the peer's certificate may state
     * @param ownName name in this process's certificate
     */
    protected FramedConnection(Set<PeerRole> allowedRoles, String ownName, Consumer<String> log) {
        this.allowedRoles = allowedRoles;
        this.ownName = ownName;
        this.log = log;
    }

    // ---- Setup ---------------------------------------------------------------------------------------

    /** Installs the handlers on a new channel. */
    public final void attach(Channel newChannel, SslHandler tlsHandler) {
        channel = newChannel;
        tls = tlsHandler;
        tls.setHandshakeTimeoutMillis(HANDSHAKE_TIMEOUT_MILLIS);
        channel.config().setWriteBufferWaterMark(WRITE_BUFFER);
        channel.pipeline()
                .addLast(
                        tls,
                        new ReadTimeoutHandler(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS),
                        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES),
                        new LengthFieldPrepender(LENGTH_FIELD_BYTES),
                        this);
    }

    /**
     * Connects to an address. May be called on any thread.
     *
     * @return completes with the TCP connection, before the TLS handshake
     */
    public final ChannelFuture dial(
            EventLoop loop, MutualTls mutualTls, InetSocketAddress address, int connectTimeoutMillis) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel newChannel) {
                        attach(newChannel, mutualTls.newHandler(newChannel));
                    }
                })
                .connect(address);
    }

    /** Sets the observer. To be called before the connection has a channel. */
    final void lifecycleListener(LifecycleListener listener) {
        lifecycleListener = listener;
    }

    // ---- State ---------------------------------------------------------------------------------------

    /** Whether the peer's {@link Hello} was accepted, so that messages may be sent. */
    public final boolean isReady() {
        return ready;
    }

    /** Returns the peer's name, or null before its {@link Hello} was accepted. */
    public final String peerName() {
        return ready ? peer.name() : null;
    }

    /** Returns the role in the peer's certificate, or null before the TLS handshake. */
    public final PeerRole peerRole() {
        return peer == null ? null : peer.role();
    }

    // ---- Callbacks -----------------------------------------------------------------------------------

    /** Called when the peer's {@link Hello} has been accepted. */
    protected void onReady() {}

    /** Called for each message after the {@link Hello}. An exception closes the connection. */
    protected abstract void onMessage(Frame frame) throws InvalidMessageException, InvalidProtocolBufferException;

    /** Called when an established TCP connection has ended, whether or not it was ever ready. */
    protected void onClosed() {}

    // ---- Sending and closing -------------------------------------------------------------------------

    /** Sends a message, or drops it if the peer reads too slowly. Closes the connection after many drops in a row. */
    public final void send(Frame frame) {
        if (channel.isWritable()) {
            droppedMessages = 0;
            channel.writeAndFlush(Unpooled.wrappedBuffer(frame.toByteArray()));
            return;
        }
        droppedMessages++;
        if (droppedMessages > MAX_DROPPED_MESSAGES) {
            close("reads too slowly");
        }
    }

    /** Closes the connection. The first call logs its reason. */
    public final void close(String reason) {
        if (!closed) {
            closed = true;
            String remote = peer == null ? String.valueOf(channel.remoteAddress()) : peer.name();
            log.accept("connection with " + remote + " closed: " + reason);
        }
        channel.close();
    }

    // ---- Events of the channel -----------------------------------------------------------------------

    @Override
    public final void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof SslHandshakeCompletionEvent completion) {
            if (completion.isSuccess()) {
                handshakeCompleted();
            } else {
                close("TLS handshake failed: " + rootMessage(completion.cause()));
            }
        }
    }

    private void handshakeCompleted() {
        Optional<PeerIdentity> identity = PeerIdentity.of(tls.engine().getSession(), allowedRoles);
        if (identity.isEmpty()) {
            close("the role in its certificate is not " + PeerRole.list(allowedRoles));
            return;
        }
        peer = identity.get();
        send(Frame.newBuilder()
                .setHello(Hello.newBuilder()
                        .setLowestVersion(MIN_PROTOCOL_VERSION)
                        .setHighestVersion(MAX_PROTOCOL_VERSION)
                        .setName(ownName))
                .build());
    }

    private static String rootMessage(Throwable exception) {
        Throwable root = exception;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return String.valueOf(root.getMessage());
    }

    @Override
    protected final void channelRead0(ChannelHandlerContext context, ByteBuf bytes)
            throws IOException, InvalidMessageException {
        if (peer == null || closed) {
            return; // frames of an unidentified peer are ignored
        }
        Frame frame = Frame.parseFrom(ByteBufUtil.getBytes(bytes));
        if (ready) {
            onMessage(frame);
        } else if (frame.hasHello()) {
            handleHello(frame.getHello());
        } else {
            close("its first message is no greeting");
        }
    }

    private void handleHello(Hello hello) {
        if (!hello.getName().equals(peer.name())) {
            close("greets as " + printable(hello.getName()) + ", which is not the name in its certificate");
            return;
        }
        if (hello.getLowestVersion() > MAX_PROTOCOL_VERSION || hello.getHighestVersion() < MIN_PROTOCOL_VERSION) {
            close("supports protocol versions " + hello.getLowestVersion() + " to " + hello.getHighestVersion()
                    + ", this program " + MIN_PROTOCOL_VERSION + " to " + MAX_PROTOCOL_VERSION);
            return;
        }
        ready = true;
        onReady();
        if (!closed) {
            lifecycleListener.connectionReady();
        }
    }

    private static String printable(String text) {
        return text.substring(0, Math.min(MAX_LOGGED_NAME_LENGTH, text.length()))
                .replaceAll("[^ -~]", "?");
    }

    @Override
    public final void channelInactive(ChannelHandlerContext context) {
        if (!closed && ready) {
            close("closed by the peer");
        }
        onClosed();
        lifecycleListener.connectionClosed();
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        close(rootMessage(cause));
    }
}
