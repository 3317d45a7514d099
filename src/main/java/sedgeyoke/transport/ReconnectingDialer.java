package sedgeyoke.transport;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Keeps a connection to one address: after a failed attempt or the end of a connection it connects again, after a
 * {@link Backoff} that is reset when a connection becomes ready. To be used on the event loop.
 *
 * @param <C> type of the connections
 */
public final class ReconnectingDialer<C extends FramedConnection> {
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Backoff backoff;
    private final Dialer<C> dialer;

    /** Creates a dialer that has no connection yet; {@code newConnection} is called for each attempt. */
    public ReconnectingDialer(
            EventLoop loop, MutualTls tls, InetSocketAddress address, Backoff backoff, Supplier<C> newConnection) {
        this.loop = loop;
        this.address = address;
        this.backoff = backoff;
        this.dialer = new Dialer<>(loop, tls, newConnection, new Dialer.Listener() {
            @Override
            public void connectionReady() {
                backoff.reset();
            }

            @Override
            public void disconnected() {
                connectAfterDelay();
            }
        });
    }

    /** Connects for the first time; to be called once. */
    public void start() {
        dialer.dial(address);
    }

    private void connectAfterDelay() {
        loop.schedule(() -> dialer.dial(address), backoff.nextDelayMillis(), TimeUnit.MILLISECONDS);
    }

    /** Returns the present connection once it has exchanged {@code Hello} messages with its peer. */
    public Optional<C> readyConnection() {
        return dialer.readyConnection();
    }
}
