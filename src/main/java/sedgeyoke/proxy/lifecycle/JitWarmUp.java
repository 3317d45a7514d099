package sedgeyoke.proxy.lifecycle;

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
import sedgeyoke.proxy.common.TimeUnits;
import sedgeyoke.proxy.common.Transport;
import sedgeyoke.proxy.config.BalancerConfig;
import sedgeyoke.proxy.config.EndpointList;
import sedgeyoke.proxy.core.ProxyCore;

/**
 * Serves some requests inside the process before the balancer listens, so that the code is compiled when the first
 * clients arrive: interpreted code takes several times the processor time, and at the full request rate a process that
 * has part of a core would be overloaded for seconds. The requests go through a second balancer without sockets, which
 * is dropped afterwards. Its clients and upstreams exchange bare bytes, because their own code need not be compiled.
 */
public final class JitWarmUp {
    /** More than the number of calls after which the JVM compiles a method, on each code path. */
    public static final int MAX_REQUESTS = 700;
    /** Enough to load and link the classes of each code path. */
    public static final int MIN_REQUESTS = 30;
    /**
     * The load from which startup waits for compiled code: upstreams per balancer divided by the shortest latency
     * objective in seconds, as the request rate grows with both. Below it, interpreted code is fast enough while the
     * JVM compiles, and halving the startup time is better where most of a large fleet starts at once.
     */
    private static final double HIGH_LOAD = 12;

    private static final int CLIENTS = 12;
    private static final int UPSTREAMS = 6;
    private static final int FIRST_PORT = 1_000;
    private static final String STATUS_LINE = "HTTP/1.1 200";
    private static final int RESPONSE_BODY_BYTES = 1_000;
    private static final int REQUEST_BODY_BYTES = 200;
    /** Out of this many responses of the upstreams, one is a rejection, one a failure, and the others succeed. */
    private static final int RESPONSES_IN_CYCLE = 20;

    /** Pause between the requests of one client. */
    private static final long REQUEST_PAUSE_MICROS = 3_000;

    /** The time budget of each request, in the unit of its header. */
    private static final int BUDGET_MILLIS = 2_000;
    /** Maximum duration of the warm-up. */
    public static final long TIMEOUT_SECONDS = 4;

    private final BalancerConfig config;
    private final EventLoop loop;
    private final int requests;
    private final CountDownLatch answers;
    private final BodyLimits bodies;
    private final List<String> classes;
    private final String report;
    private int served;
    private int sent;
    private int handledByUpstreams;

    /** How many requests were answered in time, and how many of these were served successfully. */
    public record Result(long answered, int served) {}

    private JitWarmUp(BalancerConfig config, EventLoop loop, BodyLimits bodies, int requests) {
        this.bodies = bodies;
        this.config = config;
        this.loop = loop;
        this.requests = requests;
        this.answers = new CountDownLatch(requests);
        this.classes = config.instanceSettings().classNames();
        this.report = "{"
                + String.join(
                        ",",
                        config.instanceSettings().reportNames().stream()
                                .map(name -> "\"" + name + "\":0.5")
                                .toList())
                + "}";
    }

    /** The number of requests to serve before a balancer with this configuration listens. */
    public static int requests(BalancerConfig config) {
        LoadBalancingPolicy.Settings settings = config.instanceSettings().settings();
        long shortestObjectiveMicros = settings.classes().stream()
                .mapToLong(LoadBalancingPolicy.RequestClass::latencyObjectiveMicros)
                .min()
                .orElse(0);
        int upstreams = config.configuredEndpoints().members().size();
        double load = upstreams
                * (double) TimeUnits.MICROS_PER_SECOND
                / (Math.max(1, shortestObjectiveMicros) * (double) settings.groupSize());
        return upstreams == 0 || load >= HIGH_LOAD ? MAX_REQUESTS : MIN_REQUESTS;
    }

    /** Runs the warm-up; returns when all requests have been answered, or after the timeout. */
    public static Result run(BalancerConfig template, int requests, long timeoutSeconds) throws InterruptedException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
        List<EndpointList.Member> members = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            members.add(new EndpointList.Member(
                    new LoadBalancingPolicy.Upstream("u" + i, 0, 0, 0, LoadBalancingPolicy.State.READY, 1, 0),
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), FIRST_PORT + i)));
        }
        JitWarmUp run = new JitWarmUp(
                new BalancerConfig(
                        template.name(),
                        template.listen(),
                        template.discovery(),
                        null,
                        null,
                        template.seed(),
                        template.sockets(),
                        template.instanceSettings(),
                        new EndpointList(1, true, members)),
                group.next(),
                template.bodies(),
                requests);
        group.execute(run::start);
        run.answers.await(timeoutSeconds, TimeUnit.SECONDS);
        long unanswered = run.answers.getCount();
        group.shutdownGracefully(0, timeoutSeconds, TimeUnit.SECONDS).await();
        return new Result(requests - unanswered, run.served);
    }

    private void start() {
        config.configuredEndpoints().members().forEach(member -> serve(member.address(), Upstream::new));
        serve(config.discovery(), Discovery::new);
        ProxyCore core = new ProxyCore(loop, config, Transport.INSIDE, bodies);
        new BalancerServer(loop, config, core, Transport.INSIDE, bodies).bind();
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

    private static ByteBuf message(String head, int bodyBytes) {
        return Unpooled.wrappedBuffer(head.getBytes(StandardCharsets.US_ASCII), new byte[bodyBytes]);
    }

    private static String listBody(List<EndpointList.Member> listed) {
        List<String> members = listed.stream()
                .map(member -> "{\"id\":\"" + member.upstream().id() + "\",\"host_port\":\"127.0.0.1:"
                        + member.address().getPort() + "\",\"phase\":\"up\"}")
                .toList();
        return "{\"revision\":1,\"complete\":true,\"members\":[" + String.join(",", members) + "]}";
    }

    /** Sends the endpoint list once, and then no watch events. */
    private final class Discovery extends SimpleChannelInboundHandler<ByteBuf> {
        private boolean listSent;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf request) {
            if (!listSent) {
                listSent = true;
                String list = listBody(config.configuredEndpoints().members());
                ctx.writeAndFlush(
                        message("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list, 0));
            }
        }
    }

    /** Serves most requests, and rejects or fails the others. */
    private final class Upstream extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf request) {
            if (request.getByte(request.writerIndex() - 1) != 0) {
                return; // only the head: the body, which is zeros, follows
            }
            int position = handledByUpstreams++ % RESPONSES_IN_CYCLE;
            ctx.writeAndFlush(message(
                    (position == 0
                                    ? "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1"
                                    : position == 1 ? "HTTP/1.1 500 Internal Server Error" : "HTTP/1.1 200 OK")
                            + "\r\nX-Load-Report: "
                            + report + "\r\nContent-Length: " + RESPONSE_BODY_BYTES + "\r\n\r\n",
                    RESPONSE_BODY_BYTES));
        }
    }

    /**
     * Sends the next request shortly after the head of a response; the body is so short that it arrives with the head.
     */
    private final class Client extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            send(ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf response) {
            if (response.getByte(response.readerIndex()) != 'H') {
                return; // the rest of a response
            }
            answers.countDown();
            served += response.toString(response.readerIndex(), STATUS_LINE.length(), StandardCharsets.US_ASCII)
                            .equals(STATUS_LINE)
                    ? 1
                    : 0;
            if (sent < requests) {
                // Not at once: a connection to an upstream is not reused immediately.
                loop.schedule(() -> send(ctx), REQUEST_PAUSE_MICROS, TimeUnit.MICROSECONDS);
            }
        }

        private void send(ChannelHandlerContext ctx) {
            int number = sent++;
            ctx.writeAndFlush(message(
                    "POST /api?obj=k" + number % 100 + " HTTP/1.1\r\nHost: x\r\nX-Call-Id: warm-"
                            + number + "\r\nX-Call-Class: " + classes.get(number % classes.size())
                            + "\r\nX-Budget-Ms: " + BUDGET_MILLIS
                            + "\r\nIdempotency-Key: k" + number + "\r\nContent-Length: " + REQUEST_BODY_BYTES
                            + "\r\n\r\n",
                    REQUEST_BODY_BYTES));
        }
    }
}
