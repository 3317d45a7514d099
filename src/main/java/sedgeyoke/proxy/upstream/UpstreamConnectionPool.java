package sedgeyoke.proxy.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import java.net.ConnectException;
import java.util.concurrent.TimeUnit;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.proxy.common.ReadBarrier;
import sedgeyoke.proxy.common.TimeUnits;
import sedgeyoke.proxy.common.Transport;
import sedgeyoke.proxy.exchange.Attempt;
import sedgeyoke.proxy.exchange.AttemptStarter;
import sedgeyoke.proxy.exchange.RequestMetrics;
import sedgeyoke.proxy.exchange.WithheldReason;

/**
 * The pool of connections to upstreams: sends each attempt on an idle connection or on a new one, and limits the number
 * of connections and their idle time. It never resends: each attempt is written at most once, and its outcome says
 * whether it may have been executed. Event loop only; times are microseconds of the policy's clock.
 */
public final class UpstreamConnectionPool implements AttemptStarter {
    /** The longest response if bodies are not streamed; regular responses have at most a sixth of this length. */
    public static final int MAX_RESPONSE_BYTES = 512 * 1024;
    /**
     * Connections are closed after this share of the configured idle time: upstreams may close them earlier than
     * announced.
     */
    private static final double IDLE_TIME_SHARE = 0.6;

    /**
     * Turns off Netty's own timer: it could end a connect that has succeeded if a late event loop has not handled it
     * yet.
     */
    private static final int NO_TIMEOUT = 0;

    private static final long CLOSE_IDLE_INTERVAL_MICROS = 500_000;
    /**
     * A connection is reused only after this time: an upstream may send a second response to one request some
     * milliseconds after the first, and it would be taken for the response to the next request.
     */
    private static final long MIN_IDLE_MICROS = 10_000;
    /** By how much the end of an attempt is delayed if its connect failed because of this machine. */
    private static final long LOCAL_FAULT_PAUSE_MICROS = 50_000;
    /** If the event loop is later than this, pending input is read before a request is written. */
    private static final long MAX_LOOP_DELAY_MICROS = 100_000;

    private final UpstreamContext context;
    private final RequestMetrics metrics;
    private final int maxConnections;
    private final long maxIdleMicros;
    private final long connectTimeoutMicros;
    private final Bootstrap bootstrap;
    private final EndpointTable endpoints;
    /** Connections that exist or are being opened. */
    private int connectionCount;

    /** Creates an empty pool of at most {@code maxConnections} connections. */
    public UpstreamConnectionPool(
            UpstreamContext context,
            Transport transport,
            EndpointTable endpoints,
            int maxConnections,
            RequestMetrics metrics) {
        this.context = context;
        this.endpoints = endpoints;
        this.metrics = metrics;
        this.maxConnections = maxConnections;
        this.maxIdleMicros =
                (long) (IDLE_TIME_SHARE * context.settings().limits().idleTimeoutMicros());
        this.connectTimeoutMicros =
                Math.max(TimeUnits.MICROS_PER_MILLI, context.settings().limits().connectTimeoutMicros());
        this.bootstrap = transport.client(context.loop()).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, NO_TIMEOUT);
        context.loop()
                .scheduleWithFixedDelay(
                        this::closeIdleTooLong,
                        CLOSE_IDLE_INTERVAL_MICROS,
                        CLOSE_IDLE_INTERVAL_MICROS,
                        TimeUnit.MICROSECONDS);
    }

    /** Closes the idle connections to an upstream, if it is listed. */
    public void closeIdle(String upstream) {
        endpoints.closeIdle(upstream);
    }

    private void closeIdleTooLong() {
        endpoints.closeIdleLongerThan(maxIdleMicros, context.nowMicros());
    }

    // ---- Attempts ------------------------------------------------------------------------------------

    /**
     * Starts an attempt on the most recently used idle connection, or on a new one. Its end may be reported before this
     * returns.
     */
    @Override
    public void start(Attempt attempt) {
        UpstreamEndpoint endpoint = endpoints.get(attempt.upstream());
        WithheldReason reason = withheldReason(endpoint, attempt);
        if (reason != null) {
            withhold(attempt, reason);
            return;
        }
        long nowMicros = context.nowMicros();
        endpoint.closeIdleLongerThan(maxIdleMicros, nowMicros);
        UpstreamConnection connection = endpoint.takeIdle(MIN_IDLE_MICROS, nowMicros);
        if (connection != null) {
            send(connection, attempt);
        } else {
            connect(endpoint, attempt);
        }
    }

    private void connect(UpstreamEndpoint endpoint, Attempt attempt) {
        if (connectionCount >= maxConnections && !endpoints.closeOldestIdle()) {
            // All sockets are in use. REJECTED says that the request was not executed, so that the policy may send it
            // elsewhere; but the policy also lowers the in-flight limit of this upstream, which has rejected nothing.
            end(attempt, Outcome.REJECTED);
            return;
        }
        connectionCount++;
        UpstreamConnection connection = new UpstreamConnection(context, endpoint);
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(initializer(connection))
                .connect(endpoint.address())
                .addListener((ChannelFuture connected) -> {
                    if (context.loop().inEventLoop()) {
                        connected(connection, attempt, connected);
                    } else {
                        // If the process has no file descriptor left, Netty calls this on another thread.
                        context.loop().execute(() -> connected(connection, attempt, connected));
                    }
                });
        closeAfterConnectTimeout(connecting);
    }

    private void closeAfterConnectTimeout(ChannelFuture connecting) {
        if (connecting.isDone()) {
            return;
        }
        ReadBarrier.Timer timeout =
                context.reads().schedule(() -> connecting.channel().close(), connectTimeoutMicros);
        connecting.addListener(done -> timeout.cancel());
    }

    private ChannelInitializer<Channel> initializer(UpstreamConnection connection) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.closeFuture().addListener(closed -> connectionCount--);
                connection.initialize(channel);
            }
        };
    }

    private void connected(UpstreamConnection connection, Attempt attempt, ChannelFuture connected) {
        if (!connection.hasChannel()) {
            connectionCount--; // without a channel, no close event will decrement it
        }
        if (!connected.isSuccess()) {
            connectFailed(attempt, connected.cause());
            return;
        }
        connection.established();
        if (attempt.ended()) {
            connection.release(); // nothing was sent, so another attempt can use it
        } else if (!connection.isAtCurrentAddress()) {
            // The upstream's address has changed since the connect began; the old one may be another upstream's by now.
            connection.close();
            end(attempt, Outcome.CONNECT_FAILED);
        } else {
            send(connection, attempt);
        }
    }

    /**
     * A fault of this machine says nothing about the upstream. It may pass quickly, so the attempt ends after a delay.
     */
    private void connectFailed(Attempt attempt, Throwable cause) {
        if (!ConnectFailures.isLocal(cause)) {
            recordRefusal(attempt.upstream(), cause);
            end(attempt, Outcome.CONNECT_FAILED);
        } else if (!attempt.ended()) {
            context.log().line("connect failed because of a fault of this machine: " + cause);
            context.loop()
                    .schedule(
                            () -> withhold(attempt, WithheldReason.NO_LOCAL_SOCKET),
                            LOCAL_FAULT_PAUSE_MICROS,
                            TimeUnit.MICROSECONDS);
        }
    }

    /** Nobody listens at the address: the process has ended. */
    private void recordRefusal(String upstream, Throwable cause) {
        UpstreamEndpoint endpoint = endpoints.get(upstream);
        if (endpoint != null && cause instanceof ConnectException) {
            endpoint.recordBreak(context.nowMicros());
        }
    }

    @Override
    public boolean knowsProcess(String upstream) {
        UpstreamEndpoint endpoint = endpoints.get(upstream);
        return endpoint != null && endpoint.isProcessKnown(context.nowMicros());
    }

    /** Writes the attempt if it still may be sent: connecting may have taken a while. */
    private void send(UpstreamConnection connection, Attempt attempt) {
        if (deferIfLoopIsLate(connection, attempt)) {
            return;
        }
        WithheldReason reason = withheldReason(connection.endpoint(), attempt);
        if (reason != null) {
            connection.release();
            withhold(attempt, reason);
            return;
        }
        connection.send(attempt, remainingMillis(attempt));
    }

    /**
     * Postpones an attempt, once, if the event loop is late; returns whether it did. Pending input is read before the
     * attempt is sent, as the client may have disconnected.
     */
    private boolean deferIfLoopIsLate(UpstreamConnection connection, Attempt attempt) {
        if (attempt.deferredUntilRead() || context.listener().loopDelayMicros() <= MAX_LOOP_DELAY_MICROS) {
            return false;
        }
        attempt.deferUntilRead();
        context.reads().afterPendingReads(readUntilMicros -> send(connection, attempt));
        return true;
    }

    /**
     * Why an attempt must not be written now; null if it may be. Not an {@code Optional}, to allocate nothing for each
     * attempt.
     *
     * @param endpoint the attempt's upstream; null if the endpoint list does not contain it
     */
    private WithheldReason withheldReason(UpstreamEndpoint endpoint, Attempt attempt) {
        if (endpoint == null) {
            return WithheldReason.NOT_LISTED;
        }
        if (attempt.ended() || attempt.exchange().answered()) {
            return WithheldReason.EXCHANGE_OVER;
        }
        if (!endpoint.isReady()) {
            // The grace period of a drain only covers the time until this process is notified of the drain.
            return WithheldReason.UPSTREAM_NOT_READY;
        }
        if (remainingMillis(attempt) <= 0) {
            return WithheldReason.NO_TIME_LEFT;
        }
        if (context.nowMicros() >= attempt.resendDeadlineMicros()) {
            return WithheldReason.KEY_MAY_BE_FORGOTTEN;
        }
        return null;
    }

    /** The time left until the attempt's deadline, in whole milliseconds, as in the request's header. */
    private long remainingMillis(Attempt attempt) {
        return (attempt.deadlineMicros() - context.nowMicros()) / TimeUnits.MICROS_PER_MILLI;
    }

    private void withhold(Attempt attempt, WithheldReason reason) {
        metrics.withheld(reason);
        if (!attempt.exchange().answered()) {
            context.log()
                    .line("not sent: request " + attempt.exchange().request().id() + " attempt " + attempt.number()
                            + " to " + attempt.upstream() + ": " + reason.label());
        }
        end(attempt, Outcome.NOT_SENT);
    }

    private void end(Attempt attempt, Outcome outcome) {
        context.listener().ended(attempt, outcome, null);
    }
}
