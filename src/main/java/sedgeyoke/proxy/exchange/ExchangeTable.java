package sedgeyoke.proxy.exchange;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sedgeyoke.policy.LoadBalancingPolicy.RequestClass;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/**
 * Holds the open exchanges by id: each until it is answered and its last attempt has ended. Afterwards it remembers the
 * ids of those that must not be executed again. Event loop only.
 */
public final class ExchangeTable {
    private final Settings settings;
    private final PolicyClock clock;
    private final Map<String, Exchange> exchanges = new HashMap<>();
    private final ForwardedIds forwardedIds = new ForwardedIds();

    /** Creates an empty table that holds as many open exchanges as the settings allow. */
    public ExchangeTable(Settings settings, PolicyClock clock) {
        this.settings = settings;
        this.clock = clock;
    }

    /** Whether there is no room for another exchange. */
    boolean isFull() {
        return exchanges.size() >= settings.limits().maxConcurrentRequests();
    }

    /** Whether a request with this id has ended and may have had an effect that a repetition would double. */
    public boolean mayHaveRun(String id) {
        return forwardedIds.contains(id, clock.now());
    }

    /** The open exchange with this id, or null. */
    public Exchange get(String id) {
        return exchanges.get(id);
    }

    void add(Exchange exchange) {
        exchanges.put(exchange.request.id(), exchange);
    }

    public boolean isEmpty() {
        return exchanges.isEmpty();
    }

    /** A copy of the open exchanges, so that callers may remove exchanges while they iterate. */
    List<Exchange> copy() {
        return List.copyOf(exchanges.values());
    }

    /** Removes an exchange that is answered and whose attempts have all ended. */
    public void removeIfDone(Exchange exchange) {
        if (exchange.answered && exchange.allAttemptsEnded()) {
            if (exchange.deadlineTimer != null) {
                exchange.deadlineTimer.cancel();
            }
            if (exchanges.remove(exchange.request.id(), exchange) && mustNotRunAgain(exchange)) {
                forwardedIds.add(exchange.request.id(), clock.now());
            }
            exchange.body.abort(); // no attempt will send the rest of it
        }
    }

    private boolean mustNotRunAgain(Exchange exchange) {
        RequestClass requestClass = settings.classes().get(exchange.request.classIndex());
        return exchange.mayHaveRun() && !requestClass.effect().isRetryHarmless(requestClass.scope());
    }
}
