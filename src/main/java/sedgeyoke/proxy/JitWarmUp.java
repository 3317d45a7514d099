package sedgeyoke.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.policy.LoadBalancingPolicy;

/**
 * Guards against meeting the first clients with code that is not yet compiled: it costs several times the processor
 * time then, and at the full rate of requests a part of a core is far behind for seconds. Before the balancer
 * listens, another one like it serves some requests inside the process, without a socket, and is dropped. Its peers
 * send and take bare bytes: code that serves no client is not worth a start's processor time.
 */
public final class JitWarmUp {
    /** More than the calls after which the JVM compiles a method, on each of the paths. */
    static final int MOST_REQUESTS = 700;
    /** Enough for each path to have been walked: its classes are loaded, and its calls linked. */
    static final int FEWEST_REQUESTS = 30;
    /**
     * Upstreams for each balancer, over the shortest aim in seconds, from which compiled code is waited for. Both grow
     * with the requests a second that a balancer is there for. Below that, code that is interpreted keeps up while
     * the JVM compiles it beside the traffic, and a start in half the time is worth more: where most of a large
     * fleet starts at once, clients have nowhere else to go.
     */
    private static final double BUSY = 12;

    private static final int CLIENTS = 12;
    private static final int UPSTREAMS = 6;
    private static final int FIRST_PORT = 1_000;
    private static final String STATUS_LINE = "HTTP/1.1 200";
    private static final int BODY = 1_000;
    private static final int WORK = 200;
    /** One upstream's answers in so many are one refusal, one failure, and else good. */
    private static final int KINDS = 20;

    private static final int BUDGET_MS = 2_000;
    /** How long it may take, in seconds. */
    public static final long LONGEST_S = 4;

    private final BalancerConfig config;
    private final EventLoop loop;
    private final int requests;
    private final CountDownLatch answers;
    private final BodyLimits bodies;
    private final List<String> classes;
    private final String report;
    private int served;
    private int asked;
    private int handled;

    /** What became of a warm-up's requests: answered in time, however, and of these served. */
    public record Result(long answered, int served) {}

    private JitWarmUp(BalancerConfig config, EventLoop loop, BodyLimits bodies, int requests) {
        this.bodies = bodies;
        this.config = config;
        this.loop = loop;
        this.requests = requests;
        this.answers = new CountDownLatch(requests);
        this.classes = config.facts().classNames();
        this.report = "{"
                + String.join(
                        ",",
                        config.facts().reportNames().stream()
                                .map(n -> "\"" + n + "\":0.5")
                                .toList()) + "}";
    }

    /** How many requests a balancer with that configuration is to have served before it listens. */
    public static int requests(BalancerConfig config) {
        LoadBalancingPolicy.Settings settings = config.facts().settings();
        long aim = settings.classes().stream()
                .mapToLong(LoadBalancingPolicy.RequestClass::latencyObjective)
                .min()
                .orElse(0);
        double busy = config.known().members().size() * 1e6 / (Math.max(1, aim) * (double) settings.groupSize());
        return config.known().members().isEmpty() || busy >= BUSY ? MOST_REQUESTS : FEWEST_REQUESTS;
    }

    /** Returns when all requests are answered, or when it has taken too long. */
    public static Result run(BalancerConfig like, int requests, long longestS) throws InterruptedException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
        List<EndpointList.Member> members = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            members.add(new EndpointList.Member(
                    new LoadBalancingPolicy.Upstream("u" + i, 0, 0, 0, LoadBalancingPolicy.State.READY, 1, 0),
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), FIRST_PORT + i)));
        }
        JitWarmUp run = new JitWarmUp(
                new BalancerConfig(
                        like.name(),
                        like.listen(),
                        like.discovery(),
                        null,
                        null,
                        like.seed(),
                        like.sockets(),
                        like.facts(),
                        new EndpointList(1, true, members)),
                group.next(),
                like.bodies(),
                requests);
        group.execute(run::start);
        run.answers.await(longestS, TimeUnit.SECONDS);
        long left = run.answers.getCount();
        group.shutdownGracefully(0, longestS, TimeUnit.SECONDS).await();
        return new Result(requests - left, run.served);
    }

    private void start() {
        config.known().members().forEach(m -> serve(m.address(), Upstream::new));
        serve(config.discovery(), Lists::new);
        ProxyCore node = new ProxyCore(loop, config, Transport.INSIDE, bodies);
        new BalancerServer(loop, config, node, Transport.INSIDE, bodies).bind();
        Bootstrap client = Transport.INSIDE.client(loop).handler(pipeline(Client::new));
        for (int i = 0; i < CLIENTS; i++) {
            client.connect(Transport.INSIDE.at(config.listen()));
        }
    }

    private void serve(InetSocketAddress address, Supplier<ChannelHandler> peer) {
        Transport.INSIDE.server(loop).childHandler(pipeline(peer)).bind(Transport.INSIDE.at(address));
    }

    private static ChannelHandler pipeline(Supplier<ChannelHandler> peer) {
        return new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(peer.get());
            }
        };
    }

    private static ByteBuf bytes(String head, int body) {
        return Unpooled.wrappedBuffer(head.getBytes(StandardCharsets.US_ASCII), new byte[body]);
    }

    private static String list(List<EndpointList.Member> known) {
        List<String> members = known.stream()
                .map(m -> "{\"id\":\"" + m.upstream().id() + "\",\"host_port\":\"127.0.0.1:"
                        + m.address().getPort() + "\",\"phase\":\"up\"}")
                .toList();
        return "{\"revision\":1,\"complete\":true,\"members\":[" + String.join(",", members) + "]}";
    }

    /** Gives its list once, and has no news after that. */
    private final class Lists extends SimpleChannelInboundHandler<ByteBuf> {
        private boolean told;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf request) {
            if (!told) {
                told = true;
                String list = list(config.known().members());
                ctx.writeAndFlush(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list, 0));
            }
        }
    }

    /** Serves most requests, and turns some away or fails them. */
    private final class Upstream extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf request) {
            if (request.getByte(request.writerIndex() - 1) != 0) {
                return; // a head: the zeros of the body are still to come
            }
            int kind = handled++ % KINDS;
            ctx.writeAndFlush(bytes(
                    (kind == 0
                                    ? "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1"
                                    : kind == 1 ? "HTTP/1.1 500 Internal Server Error" : "HTTP/1.1 200 OK")
                            + "\r\nX-Load-Report: "
                            + report + "\r\nContent-Length: " + BODY + "\r\n\r\n",
                    BODY));
        }
    }

    /** Asks again a moment after the head of its answer; all of an answer this short comes with it. */
    private final class Client extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ask(ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf answer) {
            if (answer.getByte(answer.readerIndex()) != 'H') {
                return; // the rest of one
            }
            answers.countDown();
            served += answer.toString(answer.readerIndex(), STATUS_LINE.length(), StandardCharsets.US_ASCII)
                            .equals(STATUS_LINE)
                    ? 1
                    : 0;
            if (asked < requests) {
                // Not at once: a connection to an upstream rests for a moment before it is used again.
                loop.schedule(() -> ask(ctx), 3, TimeUnit.MILLISECONDS);
            }
        }

        private void ask(ChannelHandlerContext ctx) {
            int number = asked++;
            ctx.writeAndFlush(bytes(
                    "POST /api?obj=k" + number % 100 + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: warm-"
                            + number + "\r\nX-Call-Class: " + classes.get(number % classes.size())
                            + "\r\nX-Budget-Ms: " + BUDGET_MS
                            + "\r\nIdempotency-Key: k" + number + "\r\nContent-Length: " + WORK + "\r\n\r\n",
                    WORK));
        }
    }
}
