package sedgeyoke.model;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Records what clients, order nodes and discovery observe, and passes it to the four rules: {@link AnswerRule},
 * {@link ExecutionRule}, {@link DrainRule}, {@link SlowStartRule}. All times are microseconds of one clock. Confined to
 * one thread.
 */
public final class InvariantChecker {
    /** The interval at which {@link #checkForStall} must be called. */
    public static final long STALL_CHECK_INTERVAL_MICROS = 10_000;

    /** Tolerance for sockets and scheduling, added to the platform's time limits. */
    static final long SOCKET_TOLERANCE_MICROS = 50_000;

    private final Map<String, ObservedRequest> requestsById = new HashMap<>();
    private final Map<String, Long> requestsByBalancer = new HashMap<>();
    private final Set<String> killedBalancers = new HashSet<>();
    private final StallDetector stalls = new StallDetector(STALL_CHECK_INTERVAL_MICROS);
    private final ViolationLog violations = new ViolationLog();
    private final AnswerRule answerRule = new AnswerRule(violations, stalls);
    private final ExecutionRule executionRule = new ExecutionRule(violations);
    private final DrainRule drainRule;
    private final SlowStartRule slowStartRule = new SlowStartRule(violations);
    private final ServiceMetrics metrics = new ServiceMetrics();
    private ArrivalListener arrivalListener = (balancer, node, nowMicros) -> {};
    private long attempts;

    /** The final result of a request as its client sees it. */
    public enum Answer {
        SERVED("served"),
        REJECTED("refused"),
        FAILED("failed"),
        NONE("none");

        private final String metric;

        Answer(String metric) {
            this.metric = metric;
        }

        /** The name in metrics, which scripts read. */
        String metric() {
            return metric;
        }
    }

    /** Listener for attempts that reach a node. */
    public interface ArrivalListener {
        /** Called when an attempt of a balancer has reached a node. */
        void arrived(String balancer, String node, long nowMicros);
    }

    /**
     * Metrics of a run.
     *
     * @param requests requests of clients, without their retries
     * @param service weight of the requests served within their latency objective over the weight of all requests
     * @param p50Ms median latency of served requests
     * @param p99Ms 99th percentile of the latency of served requests
     * @param attempts requests that reached order nodes
     * @param answers final answers by kind
     * @param violations number of violations of each rule, by the rule's number
     * @param warmUpPeak the highest load on a node during slow start, as a share of the load that overloads it
     */
    public record Summary(
            long requests,
            double service,
            double p50Ms,
            double p99Ms,
            long attempts,
            Map<String, Integer> answers,
            Map<Integer, Integer> violations,
            double warmUpPeak) {
        /** Violations of all rules. */
        public int ruleViolations() {
            return violations.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    /** Creates a checker without any records, with the parameters of the site's rules. */
    public InvariantChecker(SiteModel site) {
        this.drainRule = new DrainRule(site.rules(), violations, stalls);
    }

    /** Sets the listener for arrivals at nodes. */
    public void onArrival(ArrivalListener listener) {
        arrivalListener = listener;
    }

    // ---- Stalls of the checker -----------------------------------------------------------------------

    /**
     * Must be called every {@link #STALL_CHECK_INTERVAL_MICROS} by the event loop that clients, nodes and discovery
     * share. While that loop is stalled, events are recorded late; time limits are therefore extended by its stalls.
     */
    public void checkForStall(long nowMicros) {
        stalls.check(nowMicros);
    }

    /** The total duration of all stalls; the metrics of a run with long stalls are unreliable. */
    public double stalledMs() {
        return stalls.totalMicros() / 1e3;
    }

    // ---- Clients -------------------------------------------------------------------------------------

    /** Counts a new request of a client; its retries count as part of it. */
    public void requestOffered(RequestClassModel requestClass) {
        metrics.offered(requestClass);
    }

    /** Records a request that a client sends to a balancer; {@code idempotencyKey} may be null. */
    public void requestSent(
            String id,
            RequestClassModel requestClass,
            String idempotencyKey,
            String balancer,
            long nowMicros,
            long deadlineMicros) {
        requestsById.put(
                id, new ObservedRequest(id, requestClass, idempotencyKey, balancer, nowMicros, deadlineMicros));
        requestsByBalancer.merge(balancer, 1L, Long::sum);
    }

    /** Removes a request that was not sent because no connection could be opened. */
    public void connectFailed(String id) {
        requestsByBalancer.merge(requestsById.remove(id).balancer(), -1L, Long::sum);
    }

    /** Records a complete answer; {@code firstSentMicros} is when the client first sent the request, retries aside. */
    public void requestAnswered(String id, Answer answer, boolean bodyMatches, long firstSentMicros, long nowMicros) {
        ObservedRequest request = requestsById.get(id);
        if (!answerRule.answered(request, answer, nowMicros)) {
            return;
        }
        metrics.ended(answer);
        if (answer != Answer.SERVED) {
            return;
        }
        if (!bodyMatches) {
            answerRule.wrongBody(request);
        }
        metrics.served(request.requestClass(), nowMicros - firstSentMicros);
    }

    /** Records a resend to another balancer, after the first one closed the connection without reading the request. */
    public void requestMoved(String id, String balancer) {
        requestsById.get(id).moveTo(balancer);
    }

    /** Whether an attempt of the request has reached a node, which shows that its balancer has read it. */
    public boolean hasReachedNode(String id) {
        return requestsById.get(id).reachedNode();
    }

    /** Records that a client closes its connection before it has an answer. */
    public void clientDisconnected(String id, long nowMicros) {
        requestsById.get(id).disconnect(nowMicros);
    }

    /** Records that a client's connection was closed without an answer; a violation unless the balancer was killed. */
    public void connectionLost(String id, long nowMicros) {
        ObservedRequest request = requestsById.get(id);
        if (!request.pending()) {
            return;
        }
        request.end(Answer.NONE);
        metrics.ended(Answer.NONE);
        if (!isBalancerDown(request.balancer())) {
            answerRule.answerLost(request, nowMicros);
        }
    }

    // ---- Balancers -----------------------------------------------------------------------------------

    /** Records that a balancer was killed on purpose; requests that it loses are no violations. */
    public void balancerKilled(String balancer) {
        killedBalancers.add(balancer);
    }

    /** Whether a balancer was killed and not restarted. */
    public boolean isBalancerDown(String balancer) {
        return killedBalancers.contains(balancer);
    }

    /** Records that a killed balancer runs again. */
    public void balancerRestarted(String balancer) {
        killedBalancers.remove(balancer);
    }

    // ---- Discovery -----------------------------------------------------------------------------------

    /**
     * Records that a balancer counts as notified of a node's state: its discovery agent has the state, or the time
     * limit for a poll has passed. Of consecutive notifications that the node is not ready, only the first counts.
     */
    public void balancerNotified(String balancer, String node, boolean ready, long nowMicros) {
        if (ready) {
            drainRule.ready(balancer, node);
        } else {
            drainRule.notReady(balancer, node, nowMicros);
        }
    }

    /** Records that a balancer was configured to use another discovery. */
    public void discoveryMoved(String balancer, long nowMicros) {
        drainRule.discoveryChanged(balancer, nowMicros);
    }

    // ---- Order nodes ---------------------------------------------------------------------------------

    /** Records a complete attempt at a node; returns its request class, or null if no client sent such a request. */
    public RequestClassModel attemptArrived(String id, String node, long nowMicros) {
        ObservedRequest request = requestsById.get(id);
        attempts++;
        if (request == null) {
            executionRule.unknownRequest(id, node);
            return null;
        }
        request.markReachedNode();
        arrivalListener.arrived(request.balancer(), node, nowMicros);
        answerRule.attemptArrived(request, node, nowMicros);
        drainRule.attemptArrived(request, node, nowMicros);
        return request.requestClass();
    }

    /** Checks the time budget that an attempt announces to its node: how long the balancer waits for the answer. */
    public void attemptBudget(String id, String node, long budgetMs, long nowMicros) {
        ObservedRequest request = requestsById.get(id);
        if (request != null) {
            answerRule.budgetAnnounced(request, node, budgetMs, nowMicros);
        }
    }

    /** Records that an attempt was executed and took effect. */
    public void attemptExecuted(String id, String node) {
        executionRule.executed(requestsById.get(id), node);
    }

    /** Records the load on a node over the last window of its slow start, as a share of the load that overloads it. */
    public void warmUpLoad(double shareOfOverload) {
        slowStartRule.load(shareOfOverload);
    }

    /** Records that a node failed because it was overloaded during slow start. */
    public void nodeOverloaded(String node) {
        slowStartRule.overloaded(node);
    }

    // ---- Results -------------------------------------------------------------------------------------

    /** The first violations of the run, at most 20. */
    public List<Violation> violations() {
        return violations.first();
    }

    /** {@link Violation#message} of the first violations. */
    public List<String> violationMessages() {
        return violations.first().stream().map(Violation::message).toList();
    }

    /** How much of each limit was used, by the name of the limit in printed results. */
    public Map<String, MarginHistogram> margins() {
        Map<String, MarginHistogram> margins = new TreeMap<>();
        margins.put("drain", drainRule.margins());
        margins.put("slow_start", slowStartRule.margins());
        margins.put("client_left", answerRule.disconnectMargins());
        margins.put("told_budget", answerRule.budgetMargins());
        margins.put("answer", answerRule.answerMargins());
        return margins;
    }

    /** The metrics so far; executions before a rejection are added to the violations here. */
    public Summary summary() {
        Map<Integer, Integer> violationsByRule = violations.countsByRule();
        int executedBeforeRejection = executionRule.executedBeforeRejection(requestsById.values());
        if (executedBeforeRejection > 0) {
            violationsByRule.merge(InvariantRule.EXECUTION.number(), executedBeforeRejection, Integer::sum);
        }
        long[] latenciesMicros = metrics.sortedLatenciesMicros();
        return new Summary(
                metrics.offeredRequests(),
                metrics.service(),
                percentileMs(latenciesMicros, 0.5),
                percentileMs(latenciesMicros, 0.99),
                attempts,
                metrics.answersByKind(),
                violationsByRule,
                slowStartRule.peakLoad());
    }

    private static double percentileMs(long[] sortedMicros, double share) {
        return sortedMicros.length == 0 ? 0 : sortedMicros[(int) (share * (sortedMicros.length - 1))] / 1e3;
    }

    /** The number of requests sent to a balancer so far. */
    public long requestsSentTo(String balancer) {
        return requestsByBalancer.getOrDefault(balancer, 0L);
    }

    /** The number of requests whose clients still wait for an answer. */
    public long pendingRequests() {
        return requestsById.values().stream().filter(ObservedRequest::pending).count();
    }
}
