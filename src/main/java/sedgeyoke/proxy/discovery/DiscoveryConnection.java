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
 * A connection to discovery that carries one call at a time. It connects on creation, and notifies its listener exactly
 * once of the end of each call. Event loop only.
 */
final class DiscoveryConnection {
    /** Maximum size of a list: far larger than that of any fleet, yet small enough to buffer. */
    private static final int MAX_LIST_BYTES = 1 << 20;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Listener listener;
    private final RateLimitedLog log;
    private final ChannelFuture connecting;
    private final Channel channel;
    private boolean callInProgress;
    private boolean closedByUs;

    /** Notified of the end of each call; not called after {@link #close}. */
    interface Listener {
        /** A complete response has arrived. */
        void responded(DiscoveryConnection connection, FullHttpResponse response);

        /** The call has ended without a complete response, and the connection is closed. */
        void broken(DiscoveryConnection connection, String reason);
    }

    /** Starts connecting. */
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

    /** Whether the connection can carry another call. */
    boolean isReusable() {
        return channel.isActive() && !closedByUs && !callInProgress;
    }

    /** Sends a call as soon as the connection is established; no call may be in progress. */
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
            return; // closed in the meantime
        }
        if (!connecting.isSuccess()) {
            end("no connection: " + connecting.cause().getMessage());
            return;
        }
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers().set(HttpHeaderNames.HOST, address.getAddress().getHostAddress());
        channel.writeAndFlush(request);
    }

    /** Closes the connection. A call in progress is abandoned without notifying the listener. */
    void close() {
        callInProgress = false;
        closedByUs = true;
        if (channel.isRegistered()) { // closing a channel that could not be created would throw
            channel.close();
        }
    }

    private void end(String reason) {
        if (callInProgress) {
            close();
            listener.broken(this, reason);
        }
    }

    /** Passes responses, and the end of the connection, to the call in progress. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (!callInProgress) {
                ctx.close(); // a response to no call, or too late
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
