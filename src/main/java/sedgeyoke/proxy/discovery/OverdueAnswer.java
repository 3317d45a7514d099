package sedgeyoke.proxy.discovery;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The connection of a call to discovery that got no answer in time and was retried on another connection. As the answer
 * may only be slow, it is awaited for a limited time, at most one at once. Event loop only.
 */
final class OverdueAnswer {
    private final EventLoop loop;
    /** The connection on which an overdue answer is awaited; null if there is none. */
    private DiscoveryConnection connection;

    private Future<?> timeout;

    OverdueAnswer(EventLoop loop) {
        this.loop = loop;
    }

    /** Whether an answer is awaited. */
    boolean isAwaited() {
        return connection != null;
    }

    /** Whether an answer is awaited on this connection. */
    boolean isAwaitedOn(DiscoveryConnection other) {
        return connection == other;
    }

    /** Awaits the answer on a connection; none may be awaited yet. */
    void await(DiscoveryConnection overdue, long timeoutMicros) {
        connection = overdue;
        timeout = loop.schedule(this::abandon, timeoutMicros, TimeUnit.MICROSECONDS);
    }

    /** Closes the connection, whose answer is no longer needed. Does nothing if none is awaited. */
    void abandon() {
        if (connection != null) {
            timeout.cancel(false);
            connection.close();
            connection = null;
        }
    }
}
