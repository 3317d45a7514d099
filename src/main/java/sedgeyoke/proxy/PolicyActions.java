package sedgeyoke.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/** Carries out what the policy decides. Actions for exchanges that are no longer open are ignored. Event loop only. */
final class PolicyActions implements LoadBalancingPolicy.Actions {
    private final EventLoop loop;
    private final PolicyClock clock;
    private final Settings settings;
    private final PolicyEvents events;
    private final ExchangeTable exchanges;
    private final UpstreamConnectionPool pool;
    private final DiscoveryClient discovery;
    private final RateLimitedLog log;

    PolicyActions(
            EventLoop loop,
            PolicyClock clock,
            Settings settings,
            PolicyEvents events,
            ExchangeTable exchanges,
            UpstreamConnectionPool pool,
            DiscoveryClient discovery,
            RateLimitedLog log) {
        this.loop = loop;
        this.clock = clock;
        this.settings = settings;
        this.events = events;
        this.exchanges = exchanges;
        this.pool = pool;
        this.discovery = discovery;
        this.log = log;
    }

    @Override
    public void send(String request, String upstream, long timeout) {
        Exchange exchange = exchanges.get(request);
        if (exchange == null) {
            return;
        }
        long now = clock.now();
        long deadline = timeout > 0 ? Math.min(now + timeout, exchange.deadlineMicros) : exchange.deadlineMicros;
        int number = exchange.attempts.size();
        Attempt attempt =
                new Attempt(exchange, number, upstream, now, deadline, exchanges.resendDeadlineMicros(exchange));
        exchange.attempts.add(attempt);
        if (exchange.answered || number >= settings.limits().maxAttempts() || deadline <= now) {
            exchanges.ended(attempt, Outcome.NOT_SENT, null);
            return;
        }
        if (deadline < exchange.deadlineMicros) {
            attempt.timeoutTimer =
                    loop.schedule(() -> exchanges.timeOut(attempt), deadline - now, TimeUnit.MICROSECONDS);
        }
        pool.start(attempt);
    }

    @Override
    public void reject(String request, long retryAfter) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null) {
            exchanges.reject(exchange, retryAfter);
            exchanges.removeIfDone(exchange);
        }
    }

    @Override
    public void fail(String request) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null) {
            exchanges.fail(exchange);
            exchanges.removeIfDone(exchange);
        }
    }

    @Override
    public void cancel(String request, int number) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null) {
            Attempt attempt = exchange.attempts.get(number);
            if (!attempt.ended) {
                exchanges.stop(attempt, Outcome.CANCELLED);
            }
        }
    }

    @Override
    public void setTimer(LoadBalancingPolicy.Timer timer, long delayMicros) {
        long due = clock.now() + delayMicros;
        clock.timerSet(due);
        loop.schedule(
                () -> {
                    clock.timerFired(due);
                    events.deliver(() -> events.policy().timerFired(clock.now(), timer));
                },
                delayMicros,
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void closeIdle(String upstream) {
        pool.closeIdle(upstream);
    }

    @Override
    public void watchEndpoints(boolean enabled) {
        if (settings.subscribesToEndpoints()) {
            discovery.watch(enabled);
        }
    }

    @Override
    public void fetchEndpoints() {
        discovery.fetch();
    }

    @Override
    public void log(String text) {
        log.line(text);
    }

    @Override
    public void healthCheck(String upstream) {
        throw new UnsupportedOperationException("health checks: BalancerConfig rejects settings that allow them");
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        throw new UnsupportedOperationException("gossip: BalancerConfig rejects settings that allow it");
    }
}
