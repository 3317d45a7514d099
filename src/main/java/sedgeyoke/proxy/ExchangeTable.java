package sedgeyoke.proxy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The open exchanges by id: each until it is answered and its last attempt has ended. Event loop only. */
final class ExchangeTable {
    private final Map<String, Exchange> exchanges = new HashMap<>();

    /** The open exchange with this id, or null. */
    Exchange get(String id) {
        return exchanges.get(id);
    }

    void add(Exchange exchange) {
        exchanges.put(exchange.request.id(), exchange);
    }

    int size() {
        return exchanges.size();
    }

    boolean isEmpty() {
        return exchanges.isEmpty();
    }

    /** The open exchanges at this moment, which may be removed while a caller goes through them. */
    List<Exchange> copy() {
        return List.copyOf(exchanges.values());
    }

    /** Removes an exchange that is answered and whose attempts have all ended. */
    void removeIfDone(Exchange exchange) {
        if (exchange.answered && exchange.allAttemptsEnded()) {
            if (exchange.deadlineTimer != null) {
                exchange.deadlineTimer.cancel(false);
            }
            exchanges.remove(exchange.request.id(), exchange);
            exchange.body.abort(); // nothing takes the rest of it any more
        }
    }
}
