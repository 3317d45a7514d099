package sedgeyoke.net;

import sedgeyoke.body.BodyLimits;
import sedgeyoke.decide.Balancer;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.local.LocalIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Guards against meeting the first clients with code that is not yet compiled: it costs several times the processor
 * time then, and at the full rate of requests a part of a core is far behind for seconds. Before the balancer
 * listens, another one like it serves some hundred requests inside the process, without a socket, and is dropped.
 */
public final class WarmUp {
    /** More than the calls after which the JVM compiles a method, on each of the paths. */
    static final int REQUESTS = 700;
    private static final int CLIENTS = 12;
    private static final int UPSTREAMS = 6;
    private static final int FIRST_PORT = 1_000;
    private static final int BODY = 1_000;
    private static final int WORK = 200;
    private static final int LARGEST_BODY = 64 * 1024;
    private static final int BUDGET_MS = 2_000;
    /** How long it may take, in seconds. */
    public static final long LONGEST_S = 4;

    private final Config config;
    private final EventLoop loop;
    private final CountDownLatch answers = new CountDownLatch(REQUESTS);
    private final BodyLimits bodies;
    private int asked;
    private int handled;

    private WarmUp(Config config, EventLoop loop, BodyLimits bodies) {
        this.bodies = bodies;
        this.config = config;
        this.loop = loop;
    }

    /** Returns when all requests are answered, or when it has taken too long; tells how many were. */
    public static long run(Config like, long longestS) throws InterruptedException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
        List<MemberList.Member> members = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            members.add(new MemberList.Member(new Balancer.Upstream("u" + i, 0, 0, 0, Balancer.State.READY, 1, 0),
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), FIRST_PORT + i)));
        }
        WarmUp run = new WarmUp(new Config(like.name(), like.listen(), like.discovery(), null, null, like.seed(),
                like.sockets(), like.facts(), new MemberList(1, true, members)), group.next(), like.bodies());
        group.execute(run::start);
        run.answers.await(longestS, TimeUnit.SECONDS);
        long left = run.answers.getCount();
        group.shutdownGracefully(0, longestS, TimeUnit.SECONDS).await();
        return REQUESTS - left;
    }

    private void start() {
        config.known().members().forEach(m -> serve(m.address()));
        serve(config.discovery());
        Node node = new Node(loop, config, Transport.INSIDE, bodies);
        new Server(loop, config, node, Transport.INSIDE, bodies).bind();
        Bootstrap client = Transport.INSIDE.client(loop).handler(pipeline(HttpClientCodec::new, Client::new));
        for (int i = 0; i < CLIENTS; i++) {
            client.connect(Transport.INSIDE.at(config.listen()));
        }
    }

    private void serve(InetSocketAddress address) {
        Transport.INSIDE.server(loop).childHandler(pipeline(HttpServerCodec::new, Upstream::new))
                .bind(Transport.INSIDE.at(address));
    }

    private static ChannelHandler pipeline(Supplier<ChannelHandler> codec,
            Supplier<ChannelHandler> last) {
        return new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(codec.get(), new HttpObjectAggregator(LARGEST_BODY), last.get());
            }
        };
    }

    /** Serves most requests, and turns some away or fails them; it is discovery as well, and has no news. */
    private final class Upstream extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (request.uri().startsWith("/catalog")) {
                if (!request.uri().contains("from=")) {
                    byte[] list = list().getBytes(StandardCharsets.UTF_8);
                    FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
                            Unpooled.wrappedBuffer(list));
                    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, list.length);
                    ctx.writeAndFlush(answer);
                }
                return;
            }
            int kind = handled++ % 20;
            FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, kind == 0
                    ? HttpResponseStatus.SERVICE_UNAVAILABLE : kind == 1 ? HttpResponseStatus.INTERNAL_SERVER_ERROR
                    : HttpResponseStatus.OK, Unpooled.wrappedBuffer(new byte[BODY]));
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY).set("X-Load-Report", report());
            if (kind == 0) {
                answer.headers().set("X-Rejected", "1");
            }
            ctx.writeAndFlush(answer);
        }

        private String list() {
            List<String> members = config.known().members().stream().map(m -> "{\"id\":\"" + m.upstream().id()
                    + "\",\"host_port\":\"127.0.0.1:" + m.address().getPort() + "\",\"phase\":\"up\"}").toList();
            return "{\"revision\":1,\"complete\":true,\"members\":[" + String.join(",", members) + "]}";
        }

        private String report() {
            List<String> figures = config.facts().reportNames().stream().map(n -> "\"" + n + "\":0.5").toList();
            return "{" + String.join(",", figures) + "}";
        }
    }

    /** Asks again as soon as it is answered. */
    private final class Client extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ask(ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            answers.countDown();
            if (asked < REQUESTS) {
                // Not at once: a connection to an upstream rests for a moment before it is used again.
                loop.schedule(() -> ask(ctx), 3, TimeUnit.MILLISECONDS);
            }
        }

        private void ask(ChannelHandlerContext ctx) {
            int number = asked++;
            List<String> classes = config.facts().classNames();
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
                    "/api?obj=k" + number % 100, Unpooled.wrappedBuffer(new byte[WORK]));
            request.headers().set(HttpHeaderNames.HOST, "x").set("X-Call-Id", "warm-" + number)
                    .set("X-Call-Class", classes.get(number % classes.size())).set("X-Budget-Ms", BUDGET_MS)
                    .set("Idempotency-Key", "k" + number).set(HttpHeaderNames.CONTENT_LENGTH, WORK);
            ctx.writeAndFlush(request);
        }
    }
}
