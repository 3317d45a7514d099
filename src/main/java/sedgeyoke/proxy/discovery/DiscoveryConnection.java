package sedgeyoke.proxy.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import sedgeyoke.proxy.common.RateLimitedLog;

/**
 * One connection to discovery, which carries one call at a time. It connects when it is created, and notifies its
 * listener once of how each call ended. Event loop only.
 */
final class DiscoveryConnection {
    /** The longest list: far more than any fleet's, and little enough to buffer. */
    private static final int MAX_LIST_BYTES = 1 << 20;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Listener listener;
    private final RateLimitedLog log;
    private final ChannelFuture connecting;
    private final Channel channel;
    private boolean callInProgress;
    private boolean closedByUs;

    /** Notified of how calls ended; nothing is called after {@link #close}. */
    interface Listener {
        /** A complete response has come. */
        void responded(DiscoveryConnection connection, FullHttpResponse response);

        /** The call ended without a complete response, and the connection with it. */
        void broken(DiscoveryConnection connection, String reason);
    }

    /** Begins to connect. */
    DiscoveryConnection(
            EventLoop loop,
            Bootstrap bootstrap,
            SocketAddress endpoint,
            InetSocketAddress address,
            Listener listener,
            RateLimitedLog log) {
        this.loop = loop;
        this.address = address;
        this.listener = listener;
        this.log = log;
        this.connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MAX_LIST_BYTES),
                                        new ResponseHandler());
                    }
                })
                .connect(endpoint);
        this.channel = connecting.channel();
    }

    /** Whether it can carry another call. */
    boolean isReusable() {
        return channel.isActive() && !closedByUs && !callInProgress;
    }

    /** Calls once it is connected; there must be no call in progress. */
    void call(String uri) {
        callInProgress = true;
        if (connecting.isDone()) {
            connected(uri);
        } else {
            // If the process has no file descriptor left, Netty calls the listener on another thread.
            connecting.addListener(done -> loop.execute(() -> connected(uri)));
        }
    }

    private void connected(String uri) {
        if (!callInProgress) {
            return; // it was closed meanwhile
        }
        if (!connecting.isSuccess()) {
            end("no connection: " + connecting.cause().getMessage());
            return;
        }
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers().set(HttpHeaderNames.HOST, address.getAddress().getHostAddress());
        channel.writeAndFlush(request);
    }

    /** Closes it; a call in progress is abandoned, and the listener is not notified. */
    void close() {
        callInProgress = false;
        closedByUs = true;
        if (channel.isRegistered()) { // a channel that could not be created is not, and its close would throw
            channel.close();
        }
    }

    private void end(String reason) {
        if (callInProgress) {
            close();
            listener.broken(this, reason);
        }
    }

    /** Handles the responses. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (!callInProgress) {
                ctx.close(); // a response that no call asked for, or that came too late
                return;
            }
            callInProgress = false;
            if (!HttpUtil.isKeepAlive(response)) {
                close();
            }
            listener.responded(DiscoveryConnection.this, response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end("connection closed during the call");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.line("discovery: " + cause);
            ctx.close();
        }
    }
}
