package sedgeyoke.policy;

import java.util.Optional;

/** Sends queued requests when upstreams have capacity, and retries at once. */
final class Dispatcher {
    /** After this many requests for which no upstream was found, the rest of the queue waits for the next event. */
    private static final int MAX_MISSES = 3;

    private final RequestQueue queue;
    private final UpstreamTable upstreams;
    private final UpstreamSelector selector;
    private final UpstreamEligibility eligibility;
    private final KeyAffinity affinity;
    private final AttemptSender sender;

    Dispatcher(
            RequestQueue queue,
            UpstreamTable upstreams,
            UpstreamSelector selector,
            UpstreamEligibility eligibility,
            KeyAffinity affinity,
            AttemptSender sender) {
        this.queue = queue;
        this.upstreams = upstreams;
        this.selector = selector;
        this.eligibility = eligibility;
        this.affinity = affinity;
        this.sender = sender;
    }

    /** Sends queued requests, by priority, as long as upstreams have capacity. */
    void dispatchQueued(long nowMicros) {
        // The second check keeps the cost of an event independent of the queue's length while no upstream has capacity.
        if (queue.isEmpty() || !eligibility.anyHasCapacity(upstreams.ready(), nowMicros)) {
            return;
        }
        dispatchByAffinity(nowMicros);
        int misses = 0;
        RequestState request = queue.isEmpty() ? null : queue.first();
        while (request != null && misses < MAX_MISSES) {
            Optional<UpstreamState> upstream = selector.selectForQueued(request, nowMicros);
            if (upstream.isPresent()) {
                sender.send(request, upstream.get(), nowMicros);
            } else {
                misses++;
            }
            request = queue.next(request);
        }
    }

    /**
     * Sends requests to their affinity upstreams first, ahead of requests with higher priority: under overload,
     * requests on cold caches would prolong the overload.
     */
    private void dispatchByAffinity(long nowMicros) {
        if (queue.size() < 2 || !affinity.isEnabled()) {
            return;
        }
        boolean panic = OutlierDetection.isPanic(upstreams.ready(), nowMicros);
        for (RequestState request : queue.snapshot()) {
            UpstreamState upstream = affinity.upstream(request, nowMicros).orElse(null);
            if (upstream != null
                    && eligibility.hasCapacity(upstream, nowMicros)
                    && eligibility.isEligible(upstream, request, panic, nowMicros)) {
                sender.send(request, upstream, nowMicros);
            }
        }
    }

    /** Retries a request that may have run; returns whether an upstream could take it. */
    boolean retryAtOnce(RequestState request, long nowMicros) {
        Optional<UpstreamState> upstream = selector.selectForRetry(request, nowMicros);
        upstream.ifPresent(selected -> sender.send(request, selected, nowMicros));
        return upstream.isPresent();
    }
}
