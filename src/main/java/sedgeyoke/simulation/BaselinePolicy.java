package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sedgeyoke.policy.LoadBalancingPolicy;

/**
 * What the compared policies have in common: the list, their own counts, and retries within the rules. What they differ
 * in is {@link #choose}. They know nothing of cold nodes: their authors did not have that rule.
 */
abstract class BaselinePolicy implements LoadBalancingPolicy {
    private static final int MOST_TRIES = 3;

    final Settings settings;
    final Actions out;
    private final Map<String, Up> byId = new HashMap<>();
    private final List<Up> ready = new ArrayList<>();
    private final Map<String, Req> open = new HashMap<>();

    /** One upstream as such a policy knows it. */
    static final class Up {
        final String id;
        final int zone;
        int inFlight;
        double current;

        Up(Upstream entry) {
            this.id = entry.id();
            this.zone = entry.zone();
        }
    }

    /** One request and where it was sent. */
    private static final class Req {
        final Request request;
        final Set<Up> tried = new HashSet<>();
        final List<Up> tries = new ArrayList<>(1);
        Up mayHaveRun;

        Req(Request request) {
            this.request = request;
        }
    }

    BaselinePolicy(Settings settings, Actions out) {
        this.settings = settings;
        this.out = out;
    }

    /** One of these; never empty. */
    abstract Up choose(long now, List<Up> from);

    /** An answer was seen, or a probe's. */
    void seen(long now, Up up, LoadReport load, long took) {}

    /** A request has come. */
    void asked(long now, List<Up> among) {}

    List<Up> ready() {
        return ready;
    }

    @Override
    public void cordonsUpdated(long now, Map<String, Long> out) {
        // Nobody takes anything out by hand here.
    }

    @Override
    public void start(long now) {
        // Nothing to do before the first request.
    }

    @Override
    public void endpointsUpdated(long now, ListKind kind, List<Upstream> entries) {
        if (kind == ListKind.COMPLETE || kind == ListKind.RESTORED) {
            byId.clear();
            ready.clear();
        }
        for (Upstream e : entries) {
            Up up = byId.computeIfAbsent(e.id(), id -> new Up(e));
            ready.remove(up);
            if (e.state() == State.READY) {
                ready.add(up);
            } else if (e.state() == State.REMOVED) {
                byId.remove(e.id());
            }
        }
    }

    @Override
    public void requestArrived(long now, Request request) {
        Req r = new Req(request);
        open.put(request.id(), r);
        asked(now, ready);
        send(now, r, ready);
    }

    private void send(long now, Req r, List<Up> among) {
        if (among.isEmpty()) {
            finish(r);
            return;
        }
        Up up = choose(now, among);
        up.inFlight++;
        r.tried.add(up);
        r.tries.add(up);
        out.send(r.request.id(), up.id, 0);
    }

    private void finish(Req r) {
        open.remove(r.request.id());
        RequestClass cls = settings.classes().get(r.request.classIndex());
        if (r.mayHaveRun == null || cls.effect() == Effect.SAFE) {
            out.reject(r.request.id(), 0);
        } else {
            out.fail(r.request.id());
        }
    }

    @Override
    public void attemptEnded(long now, AttemptEnd end) {
        Req r = open.get(end.request());
        Up up = byId.get(end.upstream());
        if (r == null) {
            return;
        }
        Up sent = r.tries.get(end.attempt());
        sent.inFlight--;
        if (up == sent) {
            seen(now, up, end.load(), end.duration());
        }
        if (end.concluded() || end.outcome() == Outcome.OK) {
            open.remove(end.request());
            return;
        }
        if (!end.outcome().neverRan) {
            r.mayHaveRun = sent;
        }
        RequestClass cls = settings.classes().get(r.request.classIndex());
        List<Up> others = new ArrayList<>();
        for (Up u : ready) {
            boolean fits = r.mayHaveRun == null
                    || cls.effect() == Effect.SAFE
                    || cls.effect() == Effect.IDEMPOTENT_WITH_KEY && u.zone == r.mayHaveRun.zone;
            if (fits && !r.tried.contains(u)) {
                others.add(u);
            }
        }
        boolean mayTry = r.tries.size() < MOST_TRIES && end.outcome() != Outcome.TIMEOUT;
        send(now, r, mayTry ? others : List.of());
    }

    @Override
    public void clientDisconnected(long now, String request) {
        open.remove(request);
    }

    @Override
    public void healthCheckCompleted(long now, String upstream, Outcome outcome, LoadReport load) {
        Up up = byId.get(upstream);
        if (up != null && outcome == Outcome.OK) {
            seen(now, up, load, -1);
        }
    }

    @Override
    public void responseStarted(long now, String request, int attempt) {
        throw new UnsupportedOperationException("there are no streams here");
    }

    @Override
    public void transferStarted(long now, String request, int attempt) {
        throw new UnsupportedOperationException("there are no streams here");
    }

    @Override
    public void timerFired(long now, String token) {
        // None is ever set.
    }

    @Override
    public void peerMessageReceived(long now, int from, byte[] body) {
        // Nobody sends any.
    }

    @Override
    public void planUpdated(long now, Plan plan) {
        // They take no advice.
    }

    @Override
    public Summary summary(long now) {
        return new Summary(List.of(), List.of(), 0);
    }
}
