package sedgeyoke.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Function;

/** A balancer as clients see it: its address and their idle connections to it. Used on the clients' loop. */
final class Balancer {
    /** A balancer that does not accept a connection gets no new ones for this time. */
    private static final long CONNECT_BACKOFF_MICROS = 1_000_000;

    private final String name;
    private final InetSocketAddress address;
    private final Bootstrap bootstrap;
    private final Deque<BalancerConnection> idle = new ArrayDeque<>();
    private boolean acceptsConnections = true;
    private long backoffUntilMicros;

    Balancer(
            String name,
            InetSocketAddress address,
            EventLoop loop,
            Function<Balancer, BalancerConnection> connectionFactory) {
        this.name = name;
        this.address = address;
        this.bootstrap = Http.client(loop, () -> connectionFactory.apply(this));
    }

    String name() {
        return name;
    }

    /** Whether the platform's front sends new connections there; open ones are used in any case. */
    boolean acceptsConnections() {
        return acceptsConnections;
    }

    /** Lets new connections go there from now on, whatever failed before. */
    void startAcceptingConnections() {
        acceptsConnections = true;
        backoffUntilMicros = 0;
    }

    /** Lets no new connections go there from now on. */
    void stopAcceptingConnections() {
        acceptsConnections = false;
    }

    /** Whether a request can be sent there now. */
    boolean isAvailable(long nowMicros) {
        return backoffUntilMicros <= nowMicros && (acceptsConnections || !idle.isEmpty());
    }

    /** Opens a connection. */
    ChannelFuture connect() {
        return bootstrap.connect(address);
    }

    /** A connection could not be opened. */
    void connectFailed(long nowMicros) {
        backoffUntilMicros = nowMicros + CONNECT_BACKOFF_MICROS;
    }

    /** Removes and returns the latest idle connection that is still open; null if there is none. */
    BalancerConnection pollIdle() {
        BalancerConnection connection = idle.poll();
        while (connection != null && !connection.isOpen()) {
            connection = idle.poll();
        }
        return connection;
    }

    void addIdle(BalancerConnection connection) {
        idle.push(connection);
    }

    void removeIdle(BalancerConnection connection) {
        idle.remove(connection);
    }
}
