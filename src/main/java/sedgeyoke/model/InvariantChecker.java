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
    /** {@link #checkForStall} is to be called at this interval. */
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

    /** How a client saw its request end. */
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

    /** Is notified of each attempt that reaches a node. */
    public interface ArrivalListener {
        /** An attempt of a balancer has reached a node. */
        void arrived(String balancer, String node, long nowMicros);
    }

    /**
     * Metrics of a run.
     *
     * @param requests what clients asked for, without their retries
     * @param service weight of the requests served within their latency objective over the weight of all requests
     * @param p50Ms median latency of served requests
     * @param p99Ms 99th percentile of it
     * @param attempts requests that reached order nodes
     * @param answers final answers by kind
     * @param violations how often each rule was broken, by its number
     * @param warmUpPeak the highest load on a node that warms up, as a share of what overloads it
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

    /** A checker that has recorded nothing yet. */
    public InvariantChecker(SiteModel site) {
        this.drainRule = new DrainRule(site.rules(), violations, stalls);
    }

    /** Sets the listener for arrivals at nodes. */
    public void onArrival(ArrivalListener listener) {
        arrivalListener = listener;
    }

    // ---- Stalls of the checker -----------------------------------------------------------------------

    /**
     * Is to be called at {@link #STALL_CHECK_INTERVAL_MICROS} by the loop that clients, nodes and discovery share.
     * While that loop does not run, nothing that reaches them is recorded, so that time limits are extended by its
     * stalls.
     */
    public void checkForStall(long nowMicros) {
        stalls.check(nowMicros);
    }

    /** The total of all stalls; the metrics of a run with long stalls say little. */
    public double stalledMs() {
        return stalls.totalMicros() / 1e3;
    }

    // ---- Clients -------------------------------------------------------------------------------------

    /** A client has a new request; its retries count as part of it. */
    public void requestOffered(RequestClassModel requestClass) {
        metrics.offered(requestClass);
    }

    /** A client sends a request to a balancer; {@code idempotencyKey} may be null. */
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

    /** No connection could be opened for a request, so that it was not sent after all. */
    public void connectFailed(String id) {
        requestsByBalancer.merge(requestsById.remove(id).balancer(), -1L, Long::sum);
    }

    /** A client has a complete answer; {@code firstSentMicros} is when it sent the first of its retries. */
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

    /** A client sends a request once more, to another balancer, as the first one closed its connection unread. */
    public void requestMoved(String id, String balancer) {
        requestsById.get(id).moveTo(balancer);
    }

    /** Whether an attempt of the request has reached a node, so that its balancer has read it. */
    public boolean hasReachedNode(String id) {
        return requestsById.get(id).reachedNode();
    }

    /** A client closes its connection before it has an answer. */
    public void clientDisconnected(String id, long nowMicros) {
        requestsById.get(id).disconnect(nowMicros);
    }

    /** The connection was closed without an answer. */
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

    /** A balancer was killed on purpose: requests that it loses break no rule. */
    public void balancerKilled(String balancer) {
        killedBalancers.add(balancer);
    }

    /** Whether a balancer was killed and not restarted. */
    public boolean isBalancerDown(String balancer) {
        return killedBalancers.contains(balancer);
    }

    /** A balancer that was killed runs again. */
    public void balancerRestarted(String balancer) {
        killedBalancers.remove(balancer);
    }

    // ---- Discovery -----------------------------------------------------------------------------------

    /**
     * A node's state counts as known to a balancer: its agent has it, or the time that a poll may take is over. Of
     * several states that are not ready the first counts.
     */
    public void balancerNotified(String balancer, String node, boolean ready, long nowMicros) {
        if (ready) {
            drainRule.ready(balancer, node);
        } else {
            drainRule.notReady(balancer, node, nowMicros);
        }
    }

    /** A balancer was told to use another discovery. */
    public void discoveryMoved(String balancer, long nowMicros) {
        drainRule.discoveryChanged(balancer, nowMicros);
    }

    // ---- Order nodes ---------------------------------------------------------------------------------

    /** A complete attempt has reached a node; returns its class, or null if no client sent such a request. */
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

    /** An attempt announces to its node how long the balancer will wait. */
    public void attemptBudget(String id, String node, long budgetMs, long nowMicros) {
        ObservedRequest request = requestsById.get(id);
        if (request != null) {
            answerRule.budgetAnnounced(request, node, budgetMs, nowMicros);
        }
    }

    /** An attempt was executed with an effect. */
    public void attemptExecuted(String id, String node) {
        executionRule.executed(requestsById.get(id), node);
    }

    /** The recent load on a node that warms up, as a share of what overloads it. */
    public void warmUpLoad(double shareOfOverload) {
        slowStartRule.load(shareOfOverload);
    }

    /** A node was overloaded while it warmed up, and has failed. */
    public void nodeOverloaded(String node) {
        slowStartRule.overloaded(node);
    }

    // ---- Results -------------------------------------------------------------------------------------

    /** The first violations. */
    public List<Violation> violations() {
        return violations.first();
    }

    /** {@link Violation#message} of the first violations. */
    public List<String> violationMessages() {
        return violations.first().stream().map(Violation::message).toList();
    }

    /** How much of each limit was used, by the names that results print. */
    public Map<String, MarginHistogram> margins() {
        Map<String, MarginHistogram> margins = new TreeMap<>();
        margins.put("drain", drainRule.margins());
        margins.put("slow_start", slowStartRule.margins());
        margins.put("client_left", answerRule.disconnectMargins());
        margins.put("told_budget", answerRule.budgetMargins());
        margins.put("answer", answerRule.answerMargins());
        return margins;
    }

    /** The metrics so far. Requests that were executed before they were rejected are found here. */
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

    /** How many requests a balancer was sent so far. */
    public long requestsSentTo(String balancer) {
        return requestsByBalancer.getOrDefault(balancer, 0L);
    }

    /** How many requests have neither an answer nor lost their connection. */
    public long pendingRequests() {
        return requestsById.values().stream().filter(ObservedRequest::pending).count();
    }
}
