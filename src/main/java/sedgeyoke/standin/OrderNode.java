package sedgeyoke.standin;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import sedgeyoke.model.IdempotencyKeyCache;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.model.SiteModel;
import sedgeyoke.model.UpstreamModel;

/** An order node: serves an {@link UpstreamModel} over the protocol between balancers and order nodes. */
public final class OrderNode {
    private final EventLoop loop;
    private final LongSupplier clock;
    private final InvariantChecker checker;
    private final UpstreamModel model;
    private final Set<Channel> connections = new HashSet<>();
    private int port;

    OrderNode(
            SiteModel.NodeSpec spec,
            SiteModel site,
            EventLoop loop,
            LongSupplier clock,
            InvariantChecker checker,
            IdempotencyKeyCache executedKeys,
            long seed) {
        this.loop = loop;
        this.clock = clock;
        this.checker = checker;
        this.model = new UpstreamModel(
                spec,
                site,
                new UpstreamModel.Host() {
                    @Override
                    public long now() {
                        return clock.getAsLong();
                    }

                    @Override
                    public void schedule(long delayMicros, Runnable task) {
                        loop.schedule(task, delayMicros, TimeUnit.MICROSECONDS);
                    }
                },
                checker,
                executedKeys,
                seed);
    }

    /** Listens on a port that it keeps across restarts. Must not be called on the event loop. */
    void start() {
        port = ((InetSocketAddress) Http.listen(loop, 0, Connection::new).localAddress()).getPort();
        loop.submit(model::start).syncUninterruptibly();
    }

    /** The model that decides the node's behaviour; to be queried on the event loop. */
    public UpstreamModel model() {
        return model;
    }

    /** The node's parameters. */
    public SiteModel.NodeSpec spec() {
        return model.spec();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Sends no responses from now on. */
    void stopResponding() {
        model.stopResponding();
    }

    /** Restarts the node cold at the same address; requests in flight are lost. */
    void restart() {
        List.copyOf(connections).forEach(Channel::close);
        model.restart();
    }

    /** Resets all connections, also those with requests in flight. */
    void resetConnections() {
        for (Channel connection : List.copyOf(connections)) {
            connection.config().setOption(ChannelOption.SO_LINGER, 0);
            connection.close();
        }
    }

    /** Rejects new requests from now on and finishes those in flight. */
    void drain() {
        model.drain();
    }

    private void handle(ChannelHandlerContext ctx, FullHttpRequest request) {
        String id = request.headers().get("X-Call-Id");
        if (id == null) {
            ctx.writeAndFlush(Http.response(404, ""));
            return;
        }
        String budgetMs = request.headers().get("X-Budget-Ms");
        if (budgetMs != null) {
            checker.attemptBudget(id, spec().id(), Long.parseLong(budgetMs), clock.getAsLong());
        }
        String affinityKey = new QueryStringDecoder(request.uri())
                .parameters()
                .getOrDefault("obj", List.of(""))
                .get(0);
        model.receive(
                id,
                affinityKey,
                request.headers().get("Idempotency-Key"),
                answer -> ctx.writeAndFlush(response(id, answer)));
    }

    private static FullHttpResponse response(String id, UpstreamModel.Answer answer) {
        FullHttpResponse response =
                switch (answer.kind()) {
                    case DONE -> Http.response(200, "done " + id);
                    case REJECTED -> Http.response(503, "");
                    default -> Http.response(500, "");
                };
        if (answer.kind() == UpstreamModel.AnswerKind.REJECTED) {
            response.headers().set("X-Rejected", "1");
        }
        response.headers()
                .set(
                        "X-Load-Report",
                        "{\"waiting\":" + answer.waiting() + ",\"cpu\":"
                                + Math.round(answer.utilisation() * 1_000) / 1e3 + ",\"avg_ms\":"
                                + Math.round(answer.serviceMs() * 10) / 10.0 + "}");
        return response;
    }

    /** One connection of a balancer. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(ctx.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            handle(ctx, request);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                cause.printStackTrace();
            }
            ctx.close();
        }
    }
}
