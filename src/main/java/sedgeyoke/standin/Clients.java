package sedgeyoke.standin;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.model.SiteModel;
import sedgeyoke.standin.ClientRequest.Attempt;

/**
 * Open-loop clients: they send requests to the balancers of each zone at a mean rate, whether or not earlier requests
 * have a response, one at a time on a connection. As the platform's clients do, they retry a request that was rejected
 * or could not be sent up to twice. Confined to one event loop.
 */
final class Clients implements BalancerConnection.Listener {
    private static final int MAX_RETRIES = 2;
    /** The shortest budget that a client announces; it retries only while more time than this is left. */
    private static final long MIN_BUDGET_MILLIS = 10;

    private static final long CONNECT_BACKOFF_MILLIS = 20;
    /** Backoff after a rejection, doubled by each attempt. */
    private static final long REJECTION_BACKOFF_MILLIS = 30;

    private final EventLoop loop;
    private final LongSupplier clockMicros;
    private final InvariantChecker checker;
    private final RequestGenerator generator;
    private final ClientBehavior behavior;
    private final BalancerZones balancers;
    private double requestsPerSecond;
    private boolean running;
    private long nextRequestMicros;

    Clients(
            SiteModel site,
            EventLoop loop,
            LongSupplier clockMicros,
            InvariantChecker checker,
            double[] zoneShares,
            long seed) {
        this.loop = loop;
        this.clockMicros = clockMicros;
        this.checker = checker;
        this.generator = new RequestGenerator(site, zoneShares, seed);
        this.behavior = new ClientBehavior(seed);
        this.balancers = new BalancerZones(site.zones().size());
    }

    /** Adds a balancer to those that clients of a zone send requests to. */
    void addBalancer(String name, int zone, InetSocketAddress address) {
        balancers.add(
                zone,
                new Balancer(
                        name,
                        address,
                        loop,
                        balancer -> new BalancerConnection(balancer, behavior, checker, clockMicros, this)));
    }

    /** Opens new connections to a balancer from now on. */
    void startConnectingTo(String name) {
        balancers.named(name).forEach(Balancer::startAcceptingConnections);
    }

    /** Opens no new connections to a balancer from now on; those that are open are used. */
    void stopConnectingTo(String name) {
        balancers.named(name).forEach(Balancer::stopAcceptingConnections);
    }

    /** Early disconnects and planted mistakes of these clients. */
    ClientBehavior behavior() {
        return behavior;
    }

    /** Sets a zone's share of the traffic. */
    void setZoneShare(int zone, double share) {
        generator.setZoneShare(zone, share);
    }

    /** Starts the traffic. */
    void start(double rate) {
        requestsPerSecond = rate;
        running = true;
        nextRequestMicros = clockMicros.getAsLong();
        sendDue();
    }

    /** Ends the traffic; requests in flight go on. */
    void stop() {
        running = false;
    }

    private void sendDue() {
        while (running && nextRequestMicros <= clockMicros.getAsLong()) {
            ClientRequest request = generator.draw(clockMicros.getAsLong());
            checker.requestOffered(request.requestClass());
            startAttempt(request);
            nextRequestMicros += generator.drawIntervalMicros(requestsPerSecond);
        }
        if (running) {
            long delayMicros = Math.max(1, nextRequestMicros - clockMicros.getAsLong());
            loop.schedule(this::sendDue, delayMicros, TimeUnit.MICROSECONDS);
        }
    }

    private void startAttempt(ClientRequest request) {
        long nowMicros = clockMicros.getAsLong();
        Balancer balancer = balancers.draw(request.zone(), nowMicros, generator);
        Attempt attempt = request.startAttempt(generator.drawId(), nowMicros, MIN_BUDGET_MILLIS);
        checker.requestSent(
                attempt.id(),
                request.requestClass(),
                request.idempotencyKey(),
                balancer.name(),
                nowMicros,
                attempt.deadlineMicros());
        BalancerConnection connection = balancer.pollIdle();
        if (connection != null) {
            connection.send(attempt);
        } else if (balancer.acceptsConnections()) {
            connectAndSend(balancer, attempt);
        } else {
            notSent(attempt);
        }
    }

    private void connectAndSend(Balancer balancer, Attempt attempt) {
        balancer.connect().addListener((ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                connectionOf(connected).send(attempt);
            } else {
                balancer.connectFailed(clockMicros.getAsLong());
                notSent(attempt);
            }
        });
    }

    private void connectAndResend(Balancer balancer, Attempt attempt) {
        balancer.connect().addListener((ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                connectionOf(connected).resend(attempt);
            } else {
                balancer.connectFailed(clockMicros.getAsLong());
                checker.connectionLost(attempt.id(), clockMicros.getAsLong());
            }
        });
    }

    private static BalancerConnection connectionOf(ChannelFuture connected) {
        return connected.channel().pipeline().get(BalancerConnection.class);
    }

    private void notSent(Attempt attempt) {
        checker.connectFailed(attempt.id());
        retryAfter(CONNECT_BACKOFF_MILLIS, attempt.request());
    }

    private void retryAfter(long delayMillis, ClientRequest request) {
        long remainingMillis = request.remainingMs(clockMicros.getAsLong()) - delayMillis;
        if (request.attempts() <= MAX_RETRIES && remainingMillis > MIN_BUDGET_MILLIS) {
            loop.schedule(() -> startAttempt(request), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void rejected(Attempt attempt) {
        ClientRequest request = attempt.request();
        retryAfter(REJECTION_BACKOFF_MILLIS << request.attempts(), request);
    }

    /** Resends on a new connection, to another balancer of the zone if this one accepts no new connections. */
    @Override
    public void closedUnread(Attempt attempt, Balancer balancer) {
        if (balancer.acceptsConnections()) {
            connectAndResend(balancer, attempt);
            return;
        }
        Optional<Balancer> other =
                balancers.anyThatAcceptsConnections(attempt.request().zone());
        if (other.isPresent()) {
            checker.requestMoved(attempt.id(), other.get().name());
            connectAndResend(other.get(), attempt);
        } else {
            checker.connectFailed(attempt.id());
        }
    }
}
