package sedgeyoke.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.State;

/**
 * The connections to upstreams: finds or opens one for each attempt, and limits their number and how long they are
 * idle. It never resends: each attempt is written once at most, and its outcome says whether it can have been executed.
 * Event loop only; times are microseconds of the policy's clock.
 */
final class UpstreamConnectionPool {
    /** Longest response where bodies are not streamed: on some days regular ones have a sixth of it. */
    static final int MAX_RESPONSE_BYTES = 512 * 1024;
    /** Share of the settings' idle time after which we close: upstreams may close sooner than they announce. */
    private static final double IDLE_TIME_SHARE = 0.6;

    private static final long CLOSE_IDLE_INTERVAL_MILLIS = 500;
    /**
     * A connection is used again only after this time: a second response to one request may follow some milliseconds
     * after the first, and would be taken for the response to the next request.
     */
    private static final long MIN_IDLE_MICROS = 10_000;
    /** Between a connect that failed by a fault of this machine and the next attempt. */
    private static final long LOCAL_FAULT_PAUSE_MILLIS = 50;
    /** If the event loop is later than that, what has arrived meanwhile is read before a request is written. */
    private static final long MAX_LOOP_DELAY_MICROS = 100_000;

    private final UpstreamContext context;
    private final Transport transport;
    private final RequestMetrics metrics;
    private final int maxConnections;
    private final long maxIdleMicros;
    private final Bootstrap bootstrap;
    private final Map<String, UpstreamEndpoint> endpoints = new HashMap<>();
    private CordonSet cordons = CordonSet.EMPTY;
    private int connections;

    UpstreamConnectionPool(UpstreamContext context, Transport transport, int maxConnections, RequestMetrics metrics) {
        this.context = context;
        this.transport = transport;
        this.metrics = metrics;
        this.maxConnections = maxConnections;
        this.maxIdleMicros =
                (long) (IDLE_TIME_SHARE * context.settings().limits().idleTimeoutMicros());
        long connectTimeoutMillis = context.settings().limits().connectTimeoutMicros() / 1_000;
        this.bootstrap = transport.client(context.loop()).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                Math.max(1, connectTimeoutMillis));
        context.loop()
                .scheduleWithFixedDelay(
                        this::closeIdleTooLong,
                        CLOSE_IDLE_INTERVAL_MILLIS,
                        CLOSE_IDLE_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    // ---- Upstreams -----------------------------------------------------------------------------------

    /** Takes over an endpoint list, before the policy is notified of it; returns what has changed. */
    EndpointChanges update(EndpointList list) {
        EndpointChanges changes = new EndpointChanges();
        if (list.complete()) {
            removeUnlisted(list, changes);
        }
        for (EndpointList.Member member : list.members()) {
            if (member.upstream().state() == State.REMOVED) {
                remove(member.upstream().id(), changes);
            } else {
                update(member, changes);
            }
        }
        return changes;
    }

    private void update(EndpointList.Member member, EndpointChanges changes) {
        String id = member.upstream().id();
        UpstreamEndpoint endpoint = endpoints.get(id);
        boolean known = endpoint != null;
        if (!known) {
            endpoint = new UpstreamEndpoint();
            endpoints.put(id, endpoint);
        }
        boolean wasReady = endpoint.isReady();
        if (known && endpoint.launchTimeMicros() != member.upstream().launchedAtMicros()) {
            changes.restarted(id);
        }
        endpoint.update(
                transport.at(member.address()),
                member.upstream().launchedAtMicros(),
                member.upstream().state() == State.READY);
        endpoint.updateReadiness(cordons.contains(id));
        if (endpoint.isReady() && !wasReady) {
            changes.ready(id);
        } else if (!endpoint.isReady() && (wasReady || !known)) {
            changes.notReady(id);
        }
    }

    private void removeUnlisted(EndpointList list, EndpointChanges changes) {
        Set<String> listed = new HashSet<>();
        list.members().forEach(member -> listed.add(member.upstream().id()));
        List.copyOf(endpoints.keySet()).stream()
                .filter(id -> !listed.contains(id))
                .forEach(id -> remove(id, changes));
    }

    /** Ids of upstreams are never used again, so that the table would grow without limit if they stayed in it. */
    private void remove(String upstream, EndpointChanges changes) {
        UpstreamEndpoint endpoint = endpoints.remove(upstream);
        if (endpoint != null) {
            endpoint.retire();
            changes.removed(upstream);
        }
    }

    /** Takes over which upstreams operators have cordoned, before the policy is notified of it. */
    void updateCordons(CordonSet changed) {
        cordons = changed;
        endpoints.forEach((id, endpoint) -> endpoint.updateReadiness(cordons.contains(id)));
    }

    /** Whether the endpoint list has such an upstream. */
    boolean knows(String upstream) {
        return endpoints.containsKey(upstream);
    }

    /** Closes the idle connections to an upstream, if it is known. */
    void closeIdle(String upstream) {
        UpstreamEndpoint endpoint = endpoints.get(upstream);
        if (endpoint != null) {
            endpoint.closeIdle();
        }
    }

    private void closeIdleTooLong() {
        long now = context.now();
        endpoints.values().forEach(endpoint -> endpoint.closeIdleLongerThan(maxIdleMicros, now));
    }

    // ---- Attempts ------------------------------------------------------------------------------------

    /** Starts an attempt on the connection used last, or on a new one. Its end may be reported before this returns. */
    void start(Attempt attempt) {
        UpstreamEndpoint endpoint = endpoints.get(attempt.upstream);
        WithheldReason reason = endpoint == null ? WithheldReason.NOT_LISTED : withheldReason(endpoint, attempt);
        if (reason != null) {
            withhold(attempt, reason);
            return;
        }
        long now = context.now();
        endpoint.closeIdleLongerThan(maxIdleMicros, now);
        UpstreamConnection connection = endpoint.takeIdle(MIN_IDLE_MICROS, now);
        if (connection != null) {
            send(connection, attempt);
        } else {
            connect(endpoint, attempt);
        }
    }

    private void connect(UpstreamEndpoint endpoint, Attempt attempt) {
        if (connections >= maxConnections && !closeOldestIdle()) {
            // All sockets are busy: the upstream gets nothing of the request, as if it had rejected it.
            end(attempt, Outcome.REJECTED);
            return;
        }
        connections++;
        UpstreamConnection connection = new UpstreamConnection(context, endpoint);
        bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.closeFuture().addListener(closed -> connections--);
                        connection.initialize(channel);
                    }
                })
                .connect(endpoint.address())
                .addListener((ChannelFuture connected) -> {
                    if (context.loop().inEventLoop()) {
                        connected(connection, attempt, connected);
                    } else {
                        // Where the process has no file descriptor left, Netty calls on another thread.
                        context.loop().execute(() -> connected(connection, attempt, connected));
                    }
                });
    }

    private void connected(UpstreamConnection connection, Attempt attempt, ChannelFuture connected) {
        if (!connection.hasChannel()) {
            connections--; // there will be no close that would decrement it
        }
        if (!connected.isSuccess()) {
            connectFailed(attempt, connected.cause());
        } else if (attempt.ended) {
            connection.release(); // nothing was sent, so the connection is as good as new
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
        } else if (!attempt.ended) {
            context.log().line("connect failed because of this machine: " + cause);
            context.loop()
                    .schedule(
                            () -> withhold(attempt, WithheldReason.NO_LOCAL_SOCKET),
                            LOCAL_FAULT_PAUSE_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private boolean closeOldestIdle() {
        UpstreamEndpoint oldest = null;
        for (UpstreamEndpoint endpoint : endpoints.values()) {
            if (endpoint.hasIdle()
                    && (oldest == null || endpoint.oldestIdleSinceMicros() < oldest.oldestIdleSinceMicros())) {
                oldest = endpoint;
            }
        }
        if (oldest == null) {
            return false;
        }
        oldest.closeOldestIdle();
        return true;
    }

    /** Checks once more that the attempt may go out, as time may have passed while the connection came up. */
    private void send(UpstreamConnection connection, Attempt attempt) {
        if (!attempt.deferredUntilRead && context.listener().loopDelayMicros() > MAX_LOOP_DELAY_MICROS) {
            // What arrived while the loop was late is read before this runs again: the client may have disconnected.
            attempt.deferredUntilRead = true;
            context.loop().schedule(() -> send(connection, attempt), 0, TimeUnit.MICROSECONDS);
            return;
        }
        WithheldReason reason = withheldReason(connection.endpoint(), attempt);
        if (reason != null) {
            connection.release();
            withhold(attempt, reason);
            return;
        }
        connection.send(attempt, leftMillis(attempt));
    }

    /**
     * Why an attempt must not be written now; null if it may be. Nothing is written to an upstream that is known not to
     * be ready: the grace period of a drain counts from when discovery has it, and is for the time in which we do not.
     */
    private WithheldReason withheldReason(UpstreamEndpoint endpoint, Attempt attempt) {
        if (attempt.ended || attempt.exchange.answered) {
            return WithheldReason.EXCHANGE_OVER;
        } else if (!endpoint.isReady()) {
            return WithheldReason.UPSTREAM_NOT_READY;
        } else if (leftMillis(attempt) <= 0) {
            return WithheldReason.NO_TIME_LEFT;
        }
        return context.now() >= attempt.resendDeadlineMicros ? WithheldReason.KEY_MAY_BE_FORGOTTEN : null;
    }

    private long leftMillis(Attempt attempt) {
        return (attempt.deadlineMicros - context.now()) / 1_000;
    }

    private void withhold(Attempt attempt, WithheldReason reason) {
        metrics.withheld(reason);
        if (!attempt.exchange.answered) {
            context.log()
                    .line("not sent: request " + attempt.exchange.request.id() + " attempt " + attempt.number + " to "
                            + attempt.upstream + ": " + reason.label());
        }
        end(attempt, Outcome.NOT_SENT);
    }

    private void end(Attempt attempt, Outcome outcome) {
        context.listener().ended(attempt, outcome, null);
    }
}
