package sedgeyoke.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.util.Map;

/** An order node for long bodies: reads a request at the rate of its {@link BulkPair}, then sends the response. */
public final class BulkNode {
    private static final int MAX_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final int BACKLOG = 1_024;

    private final Map<String, BulkPair> pairsById;
    private final int port;

    /** Listens; must not be called on the event loop. Keys of {@code pairsById} are values of {@code X-Call-Id}. */
    public BulkNode(EventLoop loop, Map<String, BulkPair> pairsById, int bufferBytes) {
        this.pairsById = pairsById;
        Channel listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        BulkReceiver.prepare(channel, bufferBytes);
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
                                        new Connection());
                    }
                })
                .bind(Http.loopback(0))
                .syncUninterruptibly()
                .channel();
        port = ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** The address on which this node listens, as HOST:PORT. */
    public String address() {
        return "127.0.0.1:" + port;
    }

    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private BulkPair pair;
        private BulkReceiver receiver;
        private BulkSender sender;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.read();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpRequest head) {
                pair = pairsById.get(head.headers().get("X-Call-Id"));
                if (pair == null) {
                    ctx.close(); // not a request of the drill's clients
                    return;
                }
                receiver = new BulkReceiver(ctx.channel(), pair.upLength, pair.rate(pair.upLength, false, false));
            }
            if (message instanceof HttpContent content && receiver != null) {
                receiver.receive(content.content());
                if (message instanceof LastHttpContent) {
                    answer(ctx);
                }
            }
        }

        private void answer(ChannelHandlerContext ctx) {
            BulkPair received = pair;
            received.upArrived = receiver.digest();
            received.executions.incrementAndGet();
            receiver = null;
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            if (received.chunkedDown) {
                head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            } else {
                head.headers().set(HttpHeaderNames.CONTENT_LENGTH, received.downLength);
            }
            ctx.write(head);
            sender = new BulkSender(
                    ctx.channel(),
                    received.downOffset,
                    received.downLength,
                    received.rate(received.downLength, false, true),
                    digest -> {
                        received.downSent = digest;
                        sender = null;
                        ctx.channel().eventLoop().execute(ctx::read); // reads the next request
                    });
            sender.send();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (receiver != null) {
                receiver.requestRead();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (sender != null) {
                sender.send();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // the client sees that the response is incomplete
        }
    }
}
