package sedgeyoke.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.model.RequestClassModel;
import sedgeyoke.model.SiteModel;

/**
 * The desks: requests at a steady mean rate that wait for no answer, dealt out among the balancers of each zone, one at
 * a time on a connection. A refused request is tried again up to twice, as the platform's clients do, and so is one
 * whose balancer could not be reached.
 */
public final class Clients {
    private static final int MOST_RETRIES = 2;
    private static final int KEYS = 500;
    private static final int BODY = 200;
    private static final long DOWN_FOR = 1_000_000;
    /** How long beyond its time a client still looks for its answer, to tell a late one from a lost one. */
    private static final long PATIENCE_MS = 700;

    private final SiteModel site;
    private final EventLoop loop;
    private final LongSupplier clock;
    private final InvariantChecker checker;
    private final SplittableRandom random;
    private final List<List<Front>> zones = new ArrayList<>();
    private final double[] zoneShare;
    private double perSecond;
    private boolean asking;
    private long number;
    private long nextAt;

    /** A balancer as the front layer of its zone sees it. */
    private final class Front {
        final String name;
        final Bootstrap bootstrap;
        final InetSocketAddress address;
        final Deque<Connection> idle = new ArrayDeque<>();
        long downUntil;

        Front(String name, InetSocketAddress address) {
            this.name = name;
            this.address = address;
            this.bootstrap = Http.client(loop, () -> new Connection(this));
        }
    }

    /** Something that a desk wants, with all its tries. */
    private static final class Want {
        final RequestClassModel cls;
        final int zone;
        final long since;
        final String key;
        /** The same for all its tries: they are to have one effect together. */
        final String idempotencyKey;

        int tries;

        Want(RequestClassModel cls, int zone, long since, String key, String idempotencyKey) {
            this.cls = cls;
            this.zone = zone;
            this.since = since;
            this.key = key;
            this.idempotencyKey = idempotencyKey;
        }
    }

    Clients(
            SiteModel site,
            EventLoop loop,
            LongSupplier clock,
            InvariantChecker checker,
            double[] zoneShare,
            long seed) {
        this.site = site;
        this.loop = loop;
        this.clock = clock;
        this.checker = checker;
        this.random = new SplittableRandom(seed);
        this.zoneShare = zoneShare.clone();
        site.zones().forEach(z -> zones.add(new ArrayList<>()));
    }

    void balancer(String name, int zone, InetSocketAddress address) {
        zones.get(zone).add(new Front(name, address));
    }

    /** Begins to ask, on the loop. */
    void start(double rate) {
        perSecond = rate;
        asking = true;
        nextAt = clock.getAsLong();
        next();
    }

    /** How a zone's part of all traffic changes. */
    public void zoneShare(int zone, double share) {
        zoneShare[zone] = share;
    }

    void stop() {
        asking = false;
    }

    private void next() {
        while (asking && nextAt <= clock.getAsLong()) {
            arrive();
            nextAt += (long) (-Math.log(1 - random.nextDouble()) * 1e6 / perSecond);
        }
        if (asking) {
            loop.schedule(this::next, Math.max(1, nextAt - clock.getAsLong()), TimeUnit.MICROSECONDS);
        }
    }

    private void arrive() {
        double x = random.nextDouble();
        RequestClassModel cls = site.classes().get(site.classes().size() - 1);
        for (RequestClassModel c : site.classes()) {
            x -= c.share();
            if (x < 0) {
                cls = c;
                break;
            }
        }
        double sum = 0;
        for (double share : zoneShare) {
            sum += share;
        }
        double z = random.nextDouble() * sum;
        int zone = 0;
        while (zone < zoneShare.length - 1 && z >= zoneShare[zone]) {
            z -= zoneShare[zone++];
        }
        double popular = random.nextDouble();
        String key = "o" + (int) (KEYS * popular * popular);
        checker.requestOffered(cls);
        ask(new Want(cls, zone, clock.getAsLong(), key, cls.keyed() ? "k-" + newId() : null));
    }

    private void ask(Want want) {
        List<Front> fronts = zones.get(want.zone);
        long now = clock.getAsLong();
        List<Front> up = fronts.stream().filter(f -> f.downUntil <= now).toList();
        List<Front> among = up.isEmpty() ? fronts : up;
        Front front = among.get(random.nextInt(among.size()));
        want.tries++;
        Request request =
                new Request(want, newId(), now, Math.max(10, want.cls.clientTimeoutMs() - (now - want.since) / 1_000));
        checker.requestSent(request.id(), want.cls, want.idempotencyKey, front.name, now, request.deadline());
        Connection connection = front.idle.poll();
        while (connection != null && !connection.channel.isActive()) {
            connection = front.idle.poll();
        }
        if (connection != null) {
            connection.send(request, false);
            return;
        }
        connect(front, request, false);
    }

    /** {@code resent}: it was sent before, on a connection that its balancer closed meanwhile. */
    private void connect(Front front, Request request, boolean resent) {
        front.bootstrap.connect(front.address).addListener((ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                connected.channel().pipeline().get(Connection.class).send(request, resent);
                return;
            }
            front.downUntil = clock.getAsLong() + DOWN_FOR;
            if (resent) {
                checker.connectionLost(request.id(), clock.getAsLong());
            } else {
                checker.connectFailed(request.id());
                again(request.want(), 20);
            }
        });
    }

    private String newId() {
        return String.format("%016x", random.nextLong() & ~0xffffffL | number++ & 0xffffffL);
    }

    private void again(Want want, long delayMs) {
        long left = want.cls.clientTimeoutMs() - (clock.getAsLong() - want.since) / 1_000 - delayMs;
        if (want.tries <= MOST_RETRIES && left > 10) {
            loop.schedule(() -> ask(want), delayMs, TimeUnit.MILLISECONDS);
        }
    }

    /** One try of a want, begun at a time of the clock. */
    private record Request(Want want, String id, long at, long budgetMs) {
        long deadline() {
            return at + budgetMs * 1_000;
        }
    }

    /** A connection to a balancer, and the request on it. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Front front;
        private Channel channel;
        private Request current;
        /** What is on it now was first sent on another one. */
        private boolean resent;

        private int answered;

        Connection(Front front) {
            this.front = front;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        void send(Request request, boolean again) {
            Want want = request.want();
            current = request;
            resent = again;
            long budgetMs = Math.max(1, (request.deadline() - clock.getAsLong()) / 1_000);
            boolean free = want.cls.safe();
            FullHttpRequest http = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    free ? HttpMethod.GET : HttpMethod.POST,
                    "/api?obj=" + want.key,
                    free ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(new byte[BODY]));
            http.headers()
                    .set(HttpHeaderNames.HOST, "origin.svc")
                    .set("X-Call-Id", request.id())
                    .set("X-Call-Class", want.cls.name())
                    .set("X-Budget-Ms", budgetMs);
            if (want.idempotencyKey != null) {
                http.headers().set("Idempotency-Key", want.idempotencyKey);
            }
            if (want.tries > 1) {
                http.headers().set("X-Again", "1");
            }
            if (!free) {
                http.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY);
            }
            channel.writeAndFlush(http);
            loop.schedule(
                    () -> {
                        if (request.equals(current)) {
                            channel.close(); // its loss is noted in channelInactive
                        }
                    },
                    budgetMs + PATIENCE_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (current == null) {
                ctx.close();
                return;
            }
            Request done = current;
            current = null;
            answered++;
            int status = response.status().code();
            boolean fits = status != 200
                    || ByteBufUtil.getBytes(response.content()).length > 0
                            && response.content()
                                    .toString(StandardCharsets.UTF_8)
                                    .equals("done " + done.id());
            InvariantChecker.Answer answer = status == 200
                    ? InvariantChecker.Answer.SERVED
                    : status == 429 || status == 503
                            ? InvariantChecker.Answer.REJECTED
                            : InvariantChecker.Answer.FAILED;
            checker.requestAnswered(done.id(), answer, fits, done.want().since, clock.getAsLong());
            if (HttpUtil.isKeepAlive(response)) {
                front.idle.push(this);
            } else {
                ctx.close();
            }
            if (answer == InvariantChecker.Answer.REJECTED) {
                again(done.want(), 30L << done.want().tries);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            front.idle.remove(this);
            Request open = current;
            current = null;
            if (open == null) {
                return;
            }
            if (crossedItsEnd(open)) {
                connect(front, open, true);
            } else {
                checker.connectionLost(open.id(), clock.getAsLong());
            }
        }

        /**
         * PROTOCOL, "Clients to balancers": a balancer may close a connection between requests; a request that crosses
         * this is sent once more, with its id, and only a second end counts. A balancer that read the first and had it
         * run shows all the same: by a second effect under one id.
         */
        private boolean crossedItsEnd(Request open) {
            return answered > 0
                    && !resent
                    && !checker.isBalancerDown(front.name)
                    && clock.getAsLong() < open.deadline();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
