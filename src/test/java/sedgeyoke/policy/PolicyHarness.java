package sedgeyoke.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import sedgeyoke.policy.LoadBalancingPolicy.AttemptEnd;
import sedgeyoke.policy.LoadBalancingPolicy.Effect;
import sedgeyoke.policy.LoadBalancingPolicy.Limits;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.PlatformRules;
import sedgeyoke.policy.LoadBalancingPolicy.Prices;
import sedgeyoke.policy.LoadBalancingPolicy.Ratings;
import sedgeyoke.policy.LoadBalancingPolicy.Reports;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.policy.LoadBalancingPolicy.RequestClass;
import sedgeyoke.policy.LoadBalancingPolicy.Scope;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.Tenant;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;

/** A host for one module in tests: keeps its clock and timers, and all that it did. */
class PolicyHarness implements LoadBalancingPolicy.Actions {
    static final long SECOND = 1_000_000;
    static final long MILLI = 1_000;

    long now = 100 * SECOND;
    final List<String> done = new ArrayList<>();
    final Map<String, List<String>> sends = new HashMap<>();
    final Map<String, Integer> perUpstream = new HashMap<>();
    final List<String> refused = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> probes = new ArrayList<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.n, b.n));
    private long timerCount;
    private int requestCount;
    private Settings settings;
    LoadBalancingPolicy balancer;
    InvariantRecorder checker;
    /** Whether requests come from clients that try again, and say so. */
    boolean again;

    private record Timer(long at, long n, String token) {}

    /** What a test may vary of the settings. */
    static final class Config {
        int group = 1;
        int position;
        int zones = 3;
        long tick = 5 * MILLI;
        boolean secondCopies;
        boolean cancel = true;
        boolean probes = true;
        Reports reports = Reports.IN_RESPONSES;
        Ratings ratings = Ratings.NONE;
        double crossZone;
        boolean ask;
        boolean warmKeys;
        boolean stream;
        double lateWorth = 0.5;
        List<Tenant> tenants = List.of();
        Scope scope = Scope.ZONE;

        Settings settings() {
            List<RequestClass> classes = new ArrayList<>();
            for (Effect e : Effect.values()) {
                classes.add(new RequestClass(
                        SECOND / 2, 0, 2 * SECOND, 1 + e.ordinal(), lateWorth, e, scope, SECOND, stream));
            }
            return new Settings(
                    0,
                    zones,
                    position,
                    group,
                    classes,
                    tenants,
                    0.2,
                    true,
                    new Limits(4, secondCopies, probes, cancel, false, 20_000, false, 0, SECOND / 4, 10 * SECOND, 1),
                    new PlatformRules(20 * MILLI, 10 * SECOND, 0.2, 20 * SECOND, SECOND, 3, 2 * SECOND),
                    new Prices(crossZone, 0.1, 0.01, 0.05, 0),
                    reports,
                    ratings,
                    ask,
                    warmKeys,
                    tick);
        }
    }

    static PolicyHarness of(Config config) {
        PolicyHarness host = new PolicyHarness();
        host.settings = config.settings();
        host.balancer = new UtilizationWeightedPolicy(host.settings, 7, host);
        host.balancer.start(host.now);
        return host;
    }

    static Upstream up(int i, State state, long launchedAt) {
        return new Upstream("u" + i, i % 3, 0, i % 2, state, 1, launchedAt);
    }

    Settings settings() {
        return settings;
    }

    PolicyHarness list(int n) {
        List<Upstream> all = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            all.add(up(i, State.READY, 0));
        }
        balancer.endpointsUpdated(now, ListKind.RESTORED, all);
        return this;
    }

    void change(Upstream u) {
        balancer.endpointsUpdated(now, ListKind.CHANGES, List.of(u));
    }

    /** Class 0 is safe, 1 keyed, 2 unsafe. */
    String request(int cls, long timeLeft) {
        return request(cls, timeLeft, null, 20 * MILLI);
    }

    String request(int cls, long timeLeft, String key, long work) {
        String id = "r" + requestCount++;
        Request r = new Request(id, cls, 0, key, work, timeLeft, false, again);
        if (checker != null) {
            checker.arrived(now, r);
        }
        balancer.requestArrived(now, r);
        return id;
    }

    String lastUpstream(String id) {
        List<String> s = sends.getOrDefault(id, List.of());
        return s.isEmpty() ? null : s.get(s.size() - 1);
    }

    /** Attempts sent to an upstream so far. */
    int attemptsAt(String upstream) {
        return perUpstream.getOrDefault(upstream, 0);
    }

    void end(String id, Outcome outcome, long took, LoadReport load) {
        int attempt = sends.get(id).size() - 1;
        balancer.attemptEnded(
                now, new AttemptEnd(id, attempt, lastUpstream(id), outcome, took, outcome == Outcome.OK, load));
    }

    /** Sends a request, lets it be served after {@code took} with the upstream's utilisation; its upstream. */
    String serve(int cls, long took, java.util.function.ToDoubleFunction<String> utilisation) {
        String id = request(cls, 2 * SECOND);
        String at = lastUpstream(id);
        if (at == null) {
            return null;
        }
        advance(took);
        end(id, Outcome.OK, took, report(utilisation.applyAsDouble(at)));
        return at;
    }

    static LoadReport report(double utilisation) {
        return new LoadReport(utilisation, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    void advance(long by) {
        long until = now + by;
        while (!timers.isEmpty() && timers.peek().at <= until) {
            Timer t = timers.poll();
            now = Math.max(now, t.at);
            balancer.timerFired(now, t.token);
        }
        now = until;
    }

    @Override
    public void send(String request, String upstream, long timeout) {
        done.add(now + " send " + request + " " + upstream);
        sends.computeIfAbsent(request, k -> new ArrayList<>()).add(upstream);
        perUpstream.merge(upstream, 1, Integer::sum);
        if (checker != null) {
            checker.sent(now, request, upstream);
        }
    }

    @Override
    public void reject(String request, long retryAfter) {
        done.add(now + " refuse " + request);
        refused.add(request);
        if (checker != null) {
            checker.refused(now, request);
        }
    }

    @Override
    public void fail(String request) {
        done.add(now + " fail " + request);
        failed.add(request);
        if (checker != null) {
            checker.failed(now, request);
        }
    }

    @Override
    public void cancel(String request, int attempt) {
        done.add(now + " cancel " + request + " " + attempt);
        cancelled.add(request + "/" + attempt);
    }

    @Override
    public void setTimer(String token, long delay) {
        timers.add(new Timer(now + Math.max(delay, 1), timerCount++, token));
    }

    @Override
    public void healthCheck(String upstream) {
        done.add(now + " probe " + upstream);
        probes.add(upstream);
    }

    @Override
    public void closeIdle(String upstream) {
        done.add(now + " close " + upstream);
    }

    @Override
    public void watchEndpoints(boolean on) {
        done.add(now + " watch " + on);
    }

    @Override
    public void fetchEndpoints() {
        done.add(now + " fetch");
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        done.add(now + " tell " + peer);
    }

    @Override
    public void log(String text) {
        done.add(now + " log " + text);
    }
}
