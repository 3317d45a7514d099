package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sedgeyoke.policy.LoadBalancingPolicy;

/**
 * Base class of the baseline policies: the endpoint list, in-flight counts of this policy's own attempts, and retries
 * that respect idempotency. Subclasses implement {@link #choose}. Baselines ignore slow start, as their published
 * descriptions have none.
 */
abstract class BaselinePolicy implements LoadBalancingPolicy {
    private static final int MAX_ATTEMPTS = 3;

    private final Settings settings;
    private final Actions actions;
    private final Map<String, KnownUpstream> upstreams = new HashMap<>();
    private final List<KnownUpstream> ready = new ArrayList<>();
    private final Map<String, OpenRequest> openRequests = new HashMap<>();

    /** An upstream of the endpoint list, with the policy's own count of attempts in flight. */
    static final class KnownUpstream {
        private final String id;
        private final int zone;
        private int inFlight;

        KnownUpstream(Upstream upstream) {
            this.id = upstream.id();
            this.zone = upstream.zone();
        }

        String id() {
            return id;
        }

        int inFlight() {
            return inFlight;
        }
    }

    /** A request and the upstreams that it was sent to. */
    private static final class OpenRequest {
        private final Request request;
        private final RequestClass requestClass;
        private final Set<KnownUpstream> tried = new HashSet<>();
        private final List<KnownUpstream> attempts = new ArrayList<>(1);
        /** The last upstream that may have executed an attempt; null if none can have. */
        private KnownUpstream mayHaveRunAt;

        OpenRequest(Request request, RequestClass requestClass) {
            this.request = request;
            this.requestClass = requestClass;
        }

        /** Whether the request may be retried at this upstream without the risk that it takes effect twice. */
        boolean mayRetryAt(KnownUpstream upstream) {
            if (tried.contains(upstream)) {
                return false;
            }
            if (mayHaveRunAt == null || requestClass.effect() == Effect.SAFE) {
                return true;
            }
            return requestClass.effect() == Effect.IDEMPOTENT_WITH_KEY && upstream.zone == mayHaveRunAt.zone;
        }
    }

    BaselinePolicy(Settings settings, Actions actions) {
        this.settings = settings;
        this.actions = actions;
    }

    /** Chooses one of the candidates; the list is never empty. */
    abstract KnownUpstream choose(long now, List<KnownUpstream> candidates);

    /** Called for each new request before an upstream is chosen. */
    void requestArrived(long now, List<KnownUpstream> upstreams) {}

    /** Called for each health check that was answered with a load report. */
    void healthCheckAnswered(long now, KnownUpstream upstream, LoadReport load) {}

    final Actions actions() {
        return actions;
    }

    @Override
    public void cordonsUpdated(long now, Cordons cordons) {
        // Cordons are not simulated.
    }

    @Override
    public void start(long now) {
        // Nothing to do before the first request.
    }

    @Override
    public void endpointsUnavailable(long now) {
        // The last endpoint list stays in use.
    }

    @Override
    public void endpointsUpdated(long now, ListKind kind, List<Upstream> entries) {
        if (kind == ListKind.COMPLETE || kind == ListKind.RESTORED) {
            upstreams.clear();
            ready.clear();
        }
        for (Upstream entry : entries) {
            KnownUpstream upstream = upstreams.computeIfAbsent(entry.id(), id -> new KnownUpstream(entry));
            ready.remove(upstream);
            if (entry.state() == State.READY) {
                ready.add(upstream);
            } else if (entry.state() == State.REMOVED) {
                upstreams.remove(entry.id());
            }
        }
    }

    @Override
    public void requestArrived(long now, Request request) {
        RequestClass requestClass = settings.classes().get(request.classIndex());
        OpenRequest open = new OpenRequest(request, requestClass);
        openRequests.put(request.id(), open);
        requestArrived(now, ready);
        send(now, open, ready);
    }

    private void send(long now, OpenRequest open, List<KnownUpstream> candidates) {
        if (candidates.isEmpty()) {
            giveUp(open);
            return;
        }
        KnownUpstream upstream = choose(now, candidates);
        upstream.inFlight++;
        open.tried.add(upstream);
        open.attempts.add(upstream);
        actions.send(open.request.id(), upstream.id, 0);
    }

    private void giveUp(OpenRequest open) {
        String id = open.request.id();
        openRequests.remove(id);
        if (open.mayHaveRunAt == null || open.requestClass.effect() == Effect.SAFE) {
            actions.reject(id, 0);
        } else {
            actions.fail(id);
        }
    }

    @Override
    public void attemptEnded(long now, AttemptEnd end) {
        OpenRequest open = openRequests.get(end.request());
        if (open == null) {
            return;
        }
        KnownUpstream upstream = open.attempts.get(end.attempt());
        upstream.inFlight--;
        if (end.concluded() || end.outcome() == Outcome.OK) {
            openRequests.remove(end.request());
            return;
        }
        if (!end.outcome().neverRan) {
            open.mayHaveRunAt = upstream;
        }
        boolean mayRetry = open.attempts.size() < MAX_ATTEMPTS && end.outcome() != Outcome.TIMEOUT;
        send(now, open, mayRetry ? retryCandidates(open) : List.of());
    }

    private List<KnownUpstream> retryCandidates(OpenRequest open) {
        List<KnownUpstream> candidates = new ArrayList<>();
        for (KnownUpstream upstream : ready) {
            if (open.mayRetryAt(upstream)) {
                candidates.add(upstream);
            }
        }
        return candidates;
    }

    @Override
    public void clientDisconnected(long now, String request) {
        openRequests.remove(request);
    }

    @Override
    public void healthCheckCompleted(long now, String upstreamId, Outcome outcome, LoadReport load) {
        KnownUpstream upstream = upstreams.get(upstreamId);
        if (upstream != null && outcome == Outcome.OK && load != null) {
            healthCheckAnswered(now, upstream, load);
        }
    }

    @Override
    public void responseStarted(long now, String request, int attempt) {
        throw new UnsupportedOperationException("streams are not simulated");
    }

    @Override
    public void transferStarted(long now, String request, int attempt) {
        throw new UnsupportedOperationException("streams are not simulated");
    }

    @Override
    public void timerFired(long now, Timer timer) {
        // Baseline policies set no timers.
    }

    @Override
    public void peerMessageReceived(long now, int from, byte[] body) {
        // Gossip is not simulated.
    }

    @Override
    public void planUpdated(long now, Plan plan) {
        // Baseline policies follow no planner.
    }

    @Override
    public Summary summary(long now) {
        return new Summary(List.of(), List.of(), 0);
    }
}
