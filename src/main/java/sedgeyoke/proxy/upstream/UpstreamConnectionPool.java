package sedgeyoke.proxy.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
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
 * The connections to upstreams: takes an idle one or opens one for each attempt, and limits their number and how long
 * they are idle. It never resends: each attempt is written once at most, and its outcome says whether it can have been
 * executed. Event loop only; times are microseconds of the policy's clock.
 */
public final class UpstreamConnectionPool implements AttemptStarter {
    /** Longest response where bodies are not streamed: regular ones have a sixth of it at most. */
    public static final int MAX_RESPONSE_BYTES = 512 * 1024;
    /** Share of the settings' idle time after which we close: upstreams may close sooner than they announce. */
    private static final double IDLE_TIME_SHARE = 0.6;

    /** Netty's own timer could end a connect that has succeeded, and whose event a late loop has not yet handled. */
    private static final int NO_TIMEOUT = 0;

    private static final long CLOSE_IDLE_INTERVAL_MICROS = 500_000;
    /**
     * A connection is used again only after this time: a second response to one request may follow some milliseconds
     * after the first, and would be taken for the response to the next request.
     */
    private static final long MIN_IDLE_MICROS = 10_000;
    /** Between a connect that failed by a fault of this machine and the next attempt. */
    private static final long LOCAL_FAULT_PAUSE_MICROS = 50_000;
    /** If the event loop is later than that, what has arrived meanwhile is read before a request is written. */
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

    /** Starts an attempt on the connection used last, or on a new one. Its end may be reported before this returns. */
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
            // All sockets are in use. The upstream gets nothing of the request, so that the policy may send it
            // elsewhere; this also lowers the limit of an upstream that did not reject it.
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
                        // Where the process has no file descriptor left, Netty calls on another thread.
                        context.loop().execute(() -> connected(connection, attempt, connected));
                    }
                });
        limitTime(connecting);
    }

    private void limitTime(ChannelFuture connecting) {
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
            connectionCount--; // there will be no close that would decrement it
        }
        if (!connected.isSuccess()) {
            connectFailed(attempt, connected.cause());
        } else if (attempt.ended()) {
            connection.release(); // nothing was sent, so the connection can carry another attempt
        } else if (!connection.isAtCurrentAddress()) {
            // The upstream has moved while the connection came up; another one may be at that address by now.
            connection.close();
            end(attempt, Outcome.CONNECT_FAILED);
        } else {
            send(connection, attempt);
        }
    }

    /** A fault of this machine says nothing of the upstream; it may be over in a moment, so the attempt ends later. */
    private void connectFailed(Attempt attempt, Throwable cause) {
        if (!ConnectFailures.isLocal(cause)) {
            end(attempt, Outcome.CONNECT_FAILED);
        } else if (!attempt.ended()) {
            context.log().line("connect failed because of this machine: " + cause);
            context.loop()
                    .schedule(
                            () -> withhold(attempt, WithheldReason.NO_LOCAL_SOCKET),
                            LOCAL_FAULT_PAUSE_MICROS,
                            TimeUnit.MICROSECONDS);
        }
    }

    /** Checks once more that the attempt may go out, as time may have passed while the connection came up. */
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
     * Puts an attempt off once if the event loop is late; returns whether it did. What arrived meanwhile is read before
     * the attempt is sent then: the client may have disconnected.
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
     * Why an attempt must not be written now; null if it may be. Not an {@code Optional}, as each attempt is checked
     * twice.
     *
     * @param endpoint the attempt's upstream; null if the endpoint list does not have it
     */
    private WithheldReason withheldReason(UpstreamEndpoint endpoint, Attempt attempt) {
        if (endpoint == null) {
            return WithheldReason.NOT_LISTED;
        }
        if (attempt.ended() || attempt.exchange().answered()) {
            return WithheldReason.EXCHANGE_OVER;
        }
        if (!endpoint.isReady()) {
            // The grace period of a drain is for the time in which discovery has it and this process does not.
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

    /** What is left until the attempt's deadline, in whole milliseconds, as the request states it. */
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
