package sedgeyoke.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Function;

/** A balancer as clients see it: its address and their idle connections to it. Confined to the clients' event loop. */
final class Balancer {
    /** How long clients open no new connection to a balancer after a failed connect. */
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

    /** Whether new connections may be opened to this balancer; open ones are used in any case. */
    boolean acceptsConnections() {
        return acceptsConnections;
    }

    /** Allows new connections from now on and ends the backoff after a failed connect. */
    void startAcceptingConnections() {
        acceptsConnections = true;
        backoffUntilMicros = 0;
    }

    /** Allows no new connections from now on. */
    void stopAcceptingConnections() {
        acceptsConnections = false;
    }

    /** Whether a request can be sent to this balancer now. */
    boolean isAvailable(long nowMicros) {
        return backoffUntilMicros <= nowMicros && (acceptsConnections || !idle.isEmpty());
    }

    /** Opens a connection. */
    ChannelFuture connect() {
        return bootstrap.connect(address);
    }

    /** Starts the backoff after a failed connect. */
    void connectFailed(long nowMicros) {
        backoffUntilMicros = nowMicros + CONNECT_BACKOFF_MICROS;
    }

    /** Removes and returns the most recently idle connection that is still open; null if there is none. */
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
