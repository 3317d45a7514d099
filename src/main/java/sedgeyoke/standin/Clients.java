package sedgeyoke.standin;

import io.netty.bootstrap.Bootstrap;
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
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.model.SiteModel;
import sedgeyoke.standin.ClientRequest.Attempt;

/**
 * Clients that send requests at a mean rate, whether or not earlier ones are answered, to the balancers of each zone,
 * one at a time on a connection. As the platform's clients do, they retry up to twice what was rejected or could not be
 * sent.
 */
public final class Clients {
    private static final int MAX_RETRIES = 2;
    private static final long MIN_BUDGET_MS = 10;
    private static final int BODY_BYTES = 200;
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    /** A balancer that does not accept connections is avoided for this time. */
    private static final long AVOIDED_MICROS = 1_000_000;

    private static final long CONNECT_RETRY_DELAY_MS = 20;
    private static final long REJECTED_RETRY_DELAY_MS = 30;
    /** How much later than it has left a client sends its request where that mistake is planted. */
    private static final long SENT_AFTER_LEAVING_MS = 150;
    /** The longest that a client stays which leaves before its answer. */
    private static final long MAX_STAY_MS = 300;
    /** How long a client waits beyond its deadline, to tell a late answer from a lost one. */
    private static final long LATE_ANSWER_MS = 700;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final InvariantChecker checker;
    private final RequestGenerator generator;
    private final List<List<Balancer>> balancersByZone = new ArrayList<>();
    private final SplittableRandom departures;
    /** Share of the requests whose client leaves before an answer. */
    private double departureShare;

    /** Whether clients that leave send their request after that. */
    private boolean leavesSilently;
    /** What clients tell balancers beyond the time that they have. */
    private long furtherBudgetMs;

    private double requestsPerSecond;
    private boolean running;
    private long nextRequestMicros;

    /** A balancer, and the idle connections to it. */
    private final class Balancer {
        private final String name;
        private final Bootstrap bootstrap;
        private final InetSocketAddress address;
        private final Deque<Connection> idle = new ArrayDeque<>();
        private long avoidedUntilMicros;
        /** Whether new connections go there; open ones are used in any case. */
        private boolean takesConnections = true;

        Balancer(String name, InetSocketAddress address) {
            this.name = name;
            this.address = address;
            this.bootstrap = Http.client(loop, () -> new Connection(this));
        }

        boolean usable(long nowMicros) {
            return avoidedUntilMicros <= nowMicros && (takesConnections || !idle.isEmpty());
        }

        /** Takes an idle connection that is still open; null if there is none. */
        Connection pollIdle() {
            Connection connection = idle.poll();
            while (connection != null && !connection.channel.isActive()) {
                connection = idle.poll();
            }
            return connection;
        }
    }

    Clients(
            SiteModel site,
            EventLoop loop,
            LongSupplier clock,
            InvariantChecker checker,
            double[] zoneShares,
            long seed) {
        this.loop = loop;
        this.clock = clock;
        this.checker = checker;
        this.generator = new RequestGenerator(site, zoneShares, seed);
        this.departures = new SplittableRandom(seed);
        site.zones().forEach(zone -> balancersByZone.add(new ArrayList<>()));
    }

    /** From now on clients of a zone use this balancer too. */
    void addBalancer(String name, int zone, InetSocketAddress address) {
        balancersByZone.get(zone).add(new Balancer(name, address));
    }

    /** Opens new connections to a balancer or not; on the loop. Those that are open are used in any case. */
    void setTakesConnections(String name, boolean takes) {
        for (List<Balancer> zone : balancersByZone) {
            zone.stream().filter(balancer -> balancer.name.equals(name)).forEach(balancer -> {
                balancer.takesConnections = takes;
                balancer.avoidedUntilMicros = takes ? 0 : balancer.avoidedUntilMicros;
            });
        }
    }

    /** Sets the share of the requests whose client leaves before an answer. */
    void setDepartureShare(double share) {
        departureShare = share;
    }

    /** Clients that leave send their request only after that from now on, which no client does. */
    void setLeavesSilently(boolean silently) {
        leavesSilently = silently;
    }

    /** Clients tell balancers so much more time than they have, which no client does. */
    void setFurtherBudgetMs(long millis) {
        furtherBudgetMs = millis;
    }

    /** Starts the traffic; on the loop. */
    void start(double rate) {
        requestsPerSecond = rate;
        running = true;
        nextRequestMicros = clock.getAsLong();
        sendDue();
    }

    /** Sets a zone's share of the traffic. */
    void setZoneShare(int zone, double share) {
        generator.setZoneShare(zone, share);
    }

    /** Ends the traffic; requests in flight go on. */
    void stop() {
        running = false;
    }

    private void sendDue() {
        while (running && nextRequestMicros <= clock.getAsLong()) {
            ClientRequest request = generator.draw(clock.getAsLong());
            checker.requestOffered(request.requestClass());
            startAttempt(request);
            nextRequestMicros += generator.drawIntervalMicros(requestsPerSecond);
        }
        if (running) {
            loop.schedule(this::sendDue, Math.max(1, nextRequestMicros - clock.getAsLong()), TimeUnit.MICROSECONDS);
        }
    }

    private void startAttempt(ClientRequest request) {
        long now = clock.getAsLong();
        Balancer balancer = chooseBalancer(request.zone(), now);
        Attempt attempt = request.startAttempt(generator.drawId(), now, MIN_BUDGET_MS);
        checker.requestSent(
                attempt.id(),
                request.requestClass(),
                request.idempotencyKey(),
                balancer.name,
                now,
                attempt.deadlineMicros());
        Connection connection = balancer.pollIdle();
        if (connection != null) {
            connection.send(attempt, false);
        } else if (balancer.takesConnections) {
            connect(balancer, attempt, false);
        } else {
            checker.connectFailed(attempt.id());
            retryLater(request, CONNECT_RETRY_DELAY_MS);
        }
    }

    private Balancer chooseBalancer(int zone, long nowMicros) {
        List<Balancer> all = balancersByZone.get(zone);
        List<Balancer> available =
                all.stream().filter(balancer -> balancer.usable(nowMicros)).toList();
        List<Balancer> candidates = available.isEmpty() ? all : available;
        return candidates.get(generator.drawIndex(candidates.size()));
    }

    /** {@code resent}: the attempt was sent before, on a connection that the balancer was closing. */
    private void connect(Balancer balancer, Attempt attempt, boolean resent) {
        balancer.bootstrap.connect(balancer.address).addListener((ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                connected.channel().pipeline().get(Connection.class).send(attempt, resent);
                return;
            }
            balancer.avoidedUntilMicros = clock.getAsLong() + AVOIDED_MICROS;
            if (resent) {
                checker.connectionLost(attempt.id(), clock.getAsLong());
            } else {
                checker.connectFailed(attempt.id());
                retryLater(attempt.request(), CONNECT_RETRY_DELAY_MS);
            }
        });
    }

    private void retryLater(ClientRequest request, long delayMs) {
        long remainingMs = request.remainingMs(clock.getAsLong()) - delayMs;
        if (request.attempts() <= MAX_RETRIES && remainingMs > MIN_BUDGET_MS) {
            loop.schedule(() -> startAttempt(request), delayMs, TimeUnit.MILLISECONDS);
        }
    }

    private static InvariantChecker.Answer answer(int status) {
        return switch (status) {
            case OK -> InvariantChecker.Answer.SERVED;
            case TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE -> InvariantChecker.Answer.REJECTED;
            default -> InvariantChecker.Answer.FAILED;
        };
    }

    /** A connection to a balancer and the attempt on it. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Balancer balancer;
        private Channel channel;
        private Attempt current;
        /** The present attempt was first sent on another connection. */
        private boolean resent;

        private int answers;

        Connection(Balancer balancer) {
            this.balancer = balancer;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        void send(Attempt attempt, boolean sentBefore) {
            current = attempt;
            resent = sentBefore;
            long budgetMs = Math.max(1, (attempt.deadlineMicros() - clock.getAsLong()) / 1_000);
            boolean departs = departures.nextDouble() < departureShare;
            if (departs && leavesSilently) {
                checker.clientDisconnected(attempt.id(), clock.getAsLong());
                loop.schedule(() -> write(attempt, budgetMs), SENT_AFTER_LEAVING_MS, TimeUnit.MILLISECONDS);
                return;
            }
            write(attempt, budgetMs);
            if (departs) {
                long afterMs = 1 + departures.nextLong(MAX_STAY_MS);
                loop.schedule(() -> leaveIfCurrent(attempt), afterMs, TimeUnit.MILLISECONDS);
            }
            loop.schedule(() -> closeIfCurrent(attempt), budgetMs + LATE_ANSWER_MS, TimeUnit.MILLISECONDS);
        }

        private void write(Attempt attempt, long budgetMs) {
            channel.writeAndFlush(httpRequest(attempt, budgetMs + furtherBudgetMs));
        }

        private FullHttpRequest httpRequest(Attempt attempt, long budgetMs) {
            ClientRequest request = attempt.request();
            boolean safe = request.requestClass().safe();
            FullHttpRequest http = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    safe ? HttpMethod.GET : HttpMethod.POST,
                    "/api?obj=" + request.affinityKey(),
                    safe ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
            http.headers()
                    .set(HttpHeaderNames.HOST, "origin.svc")
                    .set("X-Call-Id", attempt.id())
                    .set("X-Call-Class", request.requestClass().name())
                    .set("X-Budget-Ms", budgetMs);
            if (request.idempotencyKey() != null) {
                http.headers().set("Idempotency-Key", request.idempotencyKey());
            }
            if (request.attempts() > 1) {
                http.headers().set("X-Again", "1");
            }
            if (!safe) {
                http.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY_BYTES);
            }
            return http;
        }

        private void leaveIfCurrent(Attempt attempt) {
            if (attempt.equals(current)) {
                current = null;
                checker.clientDisconnected(attempt.id(), clock.getAsLong());
                channel.close();
            }
        }

        private void closeIfCurrent(Attempt attempt) {
            if (attempt.equals(current)) {
                channel.close(); // channelInactive reports the loss
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (current == null) {
                ctx.close();
                return;
            }
            Attempt answered = current;
            current = null;
            answers++;
            InvariantChecker.Answer answer = answer(response.status().code());
            checker.requestAnswered(
                    answered.id(),
                    answer,
                    bodyMatches(answered, answer, response),
                    answered.request().createdMicros(),
                    clock.getAsLong());
            if (HttpUtil.isKeepAlive(response)) {
                balancer.idle.push(this);
            } else {
                ctx.close();
            }
            if (answer == InvariantChecker.Answer.REJECTED) {
                retryLater(
                        answered.request(),
                        REJECTED_RETRY_DELAY_MS << answered.request().attempts());
            }
        }

        /** Whether the body is the one that an order node makes for this attempt. */
        private boolean bodyMatches(Attempt attempt, InvariantChecker.Answer answer, FullHttpResponse response) {
            return answer != InvariantChecker.Answer.SERVED
                    || response.content().toString(StandardCharsets.UTF_8).equals("done " + attempt.id());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            balancer.idle.remove(this);
            Attempt interrupted = current;
            current = null;
            if (interrupted == null) {
                return;
            }
            if (mayResend(interrupted)) {
                resend(interrupted);
            } else {
                checker.connectionLost(interrupted.id(), clock.getAsLong());
            }
        }

        /**
         * Whether the balancer may have closed an idle connection while the attempt was on its way. PROTOCOL ("Clients
         * to balancers") lets a client send it once more, with the same id. If the balancer did forward the first one,
         * the checker sees a second effect under that id.
         */
        private boolean mayResend(Attempt attempt) {
            return answers > 0
                    && !resent
                    && !checker.hasReachedNode(attempt.id())
                    && !checker.isBalancerDown(balancer.name)
                    && clock.getAsLong() < attempt.deadlineMicros();
        }

        /** The front deals the new connection to a balancer that takes some. */
        private void resend(Attempt attempt) {
            if (balancer.takesConnections) {
                connect(balancer, attempt, true);
                return;
            }
            Optional<Balancer> other = balancersByZone.get(attempt.request().zone()).stream()
                    .filter(candidate -> candidate.takesConnections)
                    .findFirst();
            if (other.isPresent()) {
                checker.requestMoved(attempt.id(), other.get().name);
                connect(other.get(), attempt, true);
            } else {
                checker.connectFailed(attempt.id()); // the front has nobody to deal it to
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
