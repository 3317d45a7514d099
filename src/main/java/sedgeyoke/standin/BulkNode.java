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

/** An order node for long bodies: it reads a request at its pair's pace, and answers when the last byte is there. */
public final class BulkNode {
    private static final int LINE = 4_096;
    private static final int HEADERS = 8_192;
    private static final int CHUNK = 65_536;
    private static final int BACKLOG = 1_024;

    private final Map<String, BulkPair> pairs;
    private final int port;

    /** Listens; {@code pairs} are found by {@code X-Call-Id}, {@code buffer} is for each socket. Not on the loop. */
    public BulkNode(EventLoop loop, Map<String, BulkPair> pairs, int buffer) {
        this.pairs = pairs;
        Channel listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        BulkReceiver.prepare(ch, buffer);
                        ch.pipeline().addLast(new HttpServerCodec(LINE, HEADERS, CHUNK), new Connection());
                    }
                })
                .bind(Http.loopback(0))
                .syncUninterruptibly()
                .channel();
        port = ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Where it listens. */
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
                pair = pairs.get(head.headers().get("X-Call-Id"));
                if (pair == null) {
                    ctx.close(); // nobody asked for this
                    return;
                }
                receiver = new BulkReceiver(ctx.channel(), pair.upLength, pair.rate(pair.upLength, false, false));
            }
            if (message instanceof HttpContent content && receiver != null) {
                receiver.part(content.content());
                if (message instanceof LastHttpContent) {
                    answer(ctx);
                }
            }
        }

        private void answer(ChannelHandlerContext ctx) {
            BulkPair done = pair;
            done.upArrived = receiver.digest();
            done.executions.incrementAndGet();
            receiver = null;
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            if (done.chunkedDown) {
                head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            } else {
                head.headers().set(HttpHeaderNames.CONTENT_LENGTH, done.downLength);
            }
            ctx.write(head);
            sender = new BulkSender(
                    ctx.channel(),
                    done.downOffset,
                    done.downLength,
                    done.rate(done.downLength, false, true),
                    digest -> {
                        done.downSent = digest;
                        sender = null;
                        ctx.channel().eventLoop().execute(ctx::read); // the next request
                    });
            sender.go();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (receiver != null) {
                receiver.more();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (sender != null) {
                sender.go();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // its client sees that its answer is not whole
        }
    }
}
