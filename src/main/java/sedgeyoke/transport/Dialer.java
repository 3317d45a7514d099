package sedgeyoke.transport;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Holds the latest outgoing connection to one of several addresses. It does not reconnect by itself: its user decides
 * when to connect, and to which address. To be used on the event loop.
 *
 * @param <C> type of the connections
 */
public final class Dialer<C extends FramedConnection> {
    private final EventLoop loop;
    private final MutualTls tls;
    private final Supplier<C> newConnection;
    private final Listener listener;
    private C connection;
    private boolean connecting;

    /** Observes the connections of a dialer. */
    interface Listener {
        /** The current connection has exchanged {@code Hello} messages with its peer. */
        void connectionReady();

        /** An attempt to connect has failed, or the current connection has been closed. */
        void disconnected();
    }

    /** Creates a dialer that has no connection yet; {@code newConnection} is called for each attempt. */
    public Dialer(EventLoop loop, MutualTls tls, Supplier<C> newConnection) {
        this(loop, tls, newConnection, new Listener() {
            @Override
            public void connectionReady() {}

            @Override
            public void disconnected() {}
        });
    }

    Dialer(EventLoop loop, MutualTls tls, Supplier<C> newConnection, Listener listener) {
        this.loop = loop;
        this.tls = tls;
        this.newConnection = newConnection;
        this.listener = listener;
    }

    /** Starts to connect to an address. The present connection is kept until the new one is established. */
    public void dial(InetSocketAddress address) {
        C next = newConnection.get();
        next.lifecycleListener(new FramedConnection.LifecycleListener() {
            @Override
            public void connectionReady() {
                listener.connectionReady();
            }

            @Override
            public void connectionClosed() {
                closed(next);
            }
        });
        connecting = true;
        next.dial(loop, tls, address, FramedConnection.CONNECT_TIMEOUT_MILLIS)
                .addListener(attempt -> loop.execute(() -> attemptEnded(next, attempt.isSuccess())));
    }

    private void attemptEnded(C next, boolean connected) {
        connecting = false;
        if (connected) {
            connection = next;
        } else {
            listener.disconnected();
        }
    }

    private void closed(C ended) {
        if (connection == ended) {
            connection = null;
            listener.disconnected();
        }
    }

    /** Closes the present connection, if any, without notifying the listener. */
    public void close(String reason) {
        if (connection != null) {
            C ended = connection;
            connection = null;
            ended.close(reason);
        }
    }

    /** Whether there is neither a connection nor an attempt to connect. */
    public boolean isIdle() {
        return connection == null && !connecting;
    }

    /** Returns the present connection once it has exchanged {@code Hello} messages with its peer. */
    public Optional<C> readyConnection() {
        return connection != null && connection.isReady() ? Optional.of(connection) : Optional.empty();
    }
}
