package sedgeyoke.proxy.core;

import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.proxy.common.RateLimitedLog;
import sedgeyoke.proxy.discovery.DiscoveryClient;
import sedgeyoke.proxy.exchange.ExchangeActions;
import sedgeyoke.proxy.exchange.ExchangeLog;
import sedgeyoke.proxy.upstream.UpstreamConnectionPool;

/**
 * Carries out the decisions of the policy; those on single exchanges are left to {@link ExchangeActions}. Event loop
 * only.
 */
final class PolicyActions implements LoadBalancingPolicy.Actions {
    private final Settings settings;
    private final ExchangeActions exchanges;
    private final UpstreamConnectionPool pool;
    private final DiscoveryClient discovery;
    private final PolicyTimers timers;
    private final RateLimitedLog log;
    private final ExchangeLog exchangeLog;

    PolicyActions(
            Settings settings,
            ExchangeActions exchanges,
            UpstreamConnectionPool pool,
            DiscoveryClient discovery,
            PolicyTimers timers,
            RateLimitedLog log,
            ExchangeLog exchangeLog) {
        this.settings = settings;
        this.exchanges = exchanges;
        this.pool = pool;
        this.discovery = discovery;
        this.timers = timers;
        this.log = log;
        this.exchangeLog = exchangeLog;
    }

    @Override
    public void send(String request, String upstream, long timeoutMicros) {
        exchanges.send(request, upstream, timeoutMicros);
    }

    @Override
    public void reject(String request, long retryAfterMicros) {
        exchanges.reject(request, retryAfterMicros);
    }

    @Override
    public void fail(String request) {
        exchanges.fail(request);
    }

    @Override
    public void unserved(String request, String reason) {
        exchangeLog.unserved(request, reason);
    }

    @Override
    public boolean reachesListedProcess(String request, String upstream) {
        return exchanges.reachesListedProcess(request, upstream);
    }

    @Override
    public void cancel(String request, int number) {
        exchanges.cancel(request, number);
    }

    @Override
    public void setTimer(LoadBalancingPolicy.Timer timer, long delayMicros) {
        timers.set(timer, delayMicros);
    }

    @Override
    public void closeIdle(String upstream) {
        pool.closeIdle(upstream);
    }

    @Override
    public void watchEndpoints(boolean enabled) {
        if (!settings.subscribesToEndpoints()) {
            return; // the watch lasts from the start to the end of the process
        }
        if (enabled) {
            discovery.startWatching();
        } else {
            discovery.stopWatching();
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
        throw new UnsupportedOperationException(
                "health checks are not supported: BalancerConfig rejects settings that enable them");
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        throw new UnsupportedOperationException(
                "gossip is not supported: BalancerConfig rejects settings that enable it");
    }
}
