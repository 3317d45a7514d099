package sedgeyoke.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** The client of a {@link BulkPair}: one connection, one request, no retries. */
public final class BulkClient extends SimpleChannelInboundHandler<HttpObject> {
    private final BulkPair pair;
    private final long budgetMs;
    private final CompletableFuture<BulkPair> ended = new CompletableFuture<>();
    private BulkSender sender;
    private BulkReceiver receiver;

    private BulkClient(BulkPair pair, long budgetMs) {
        this.pair = pair;
        this.budgetMs = budgetMs;
    }

    /** Sends the request to a balancer; the future completes when the exchange has ended, successfully or not. */
    public static CompletableFuture<BulkPair> send(
            EventLoop loop, InetSocketAddress balancer, BulkPair pair, long budgetMs, int bufferBytes) {
        BulkClient client = new BulkClient(pair, budgetMs);
        pair.startNanos = System.nanoTime();
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        BulkReceiver.prepare(channel, bufferBytes);
                        channel.pipeline().addLast(new HttpClientCodec(), client);
                    }
                })
                .connect(balancer)
                .addListener((ChannelFuture connected) -> {
                    if (!connected.isSuccess()) {
                        client.end(BulkPair.End.CUT);
                    }
                });
        return client.ended;
    }

    private void end(BulkPair.End end) {
        if (pair.end == BulkPair.End.OPEN) {
            pair.endNanos = System.nanoTime();
            pair.end = end;
            ended.complete(pair);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/api?obj=" + pair.id);
        head.headers()
                .set(HttpHeaderNames.HOST, "origin.svc")
                .set("X-Call-Id", pair.id)
                .set("X-Call-Class", pair.requestClass.name())
                .set("X-Budget-Ms", budgetMs);
        if (pair.requestClass.keyed()) {
            head.headers().set("Idempotency-Key", "k-" + pair.id);
        }
        if (pair.chunkedUp) {
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, pair.upLength);
        }
        ctx.write(head);
        sender = new BulkSender(
                ctx.channel(),
                pair.upOffset,
                pair.upLength,
                pair.rate(pair.upLength, true, true),
                digest -> pair.upSent = digest);
        sender.send();
        ctx.read();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (message instanceof HttpResponse head) {
            int status = head.status().code();
            if (status != 200) {
                end(status == 503 || status == 429 ? BulkPair.End.REJECTED : BulkPair.End.FAILED);
                ctx.close();
                return;
            }
            receiver = new BulkReceiver(ctx.channel(), pair.downLength, pair.rate(pair.downLength, true, false));
        }
        if (message instanceof HttpContent content && receiver != null) {
            if (message.decoderResult().isFailure()) {
                ctx.close();
                return;
            }
            receiver.receive(content.content());
            if (message instanceof LastHttpContent) {
                pair.downArrived = receiver.digest();
                end(BulkPair.End.COMPLETE);
                ctx.close();
            }
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (receiver != null) {
            receiver.requestRead();
        } else {
            ctx.read();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (sender != null) {
            sender.send();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        end(BulkPair.End.CUT);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
