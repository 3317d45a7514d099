package sedgeyoke.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Records what clients, order nodes and discovery observe, and checks the platform's four rules on it. All times are
 * microseconds of one clock. Confined to one thread.
 */
public final class InvariantChecker {
    /** {@link #checkForStall} is to be called at this interval. */
    public static final long STALL_CHECK_INTERVAL_MICROS = 10_000;

    /** Tolerance for sockets and scheduling, added to each time limit of the rules. */
    private static final long SOCKET_SLACK_MICROS = 50_000;

    private static final long ANSWER_SLACK_MICROS = 20_000 + SOCKET_SLACK_MICROS;
    /** An attempt that begins later than that after its client has left is one too many. */
    private static final long DEPARTURE_MICROS = 100_000;
    /** What an attempt tells its node may exceed what is left to the client by so much. */
    private static final long BUDGET_SLACK_MICROS = 150_000;
    /** After a balancer was told to use another discovery, what that has counts so much later. */
    private static final long DISCOVERY_MOVE_MICROS = 4_000_000;

    private static final int MAX_DESCRIPTIONS = 20;
    private static final int INITIAL_LATENCIES = 1_024;

    private final SiteModel site;
    private final Map<String, ClientRequest> requestsById = new HashMap<>();
    /** By balancer and node: since when the balancer has known that it must not send new requests to the node. */
    private final Map<String, Map<String, Long>> closedSince = new HashMap<>();

    private final Map<String, Long> requestsByBalancer = new HashMap<>();
    private final Set<String> killedBalancers = new HashSet<>();
    /** How often each idempotency key took effect: all attempts and retries of a request are to have one effect. */
    private final Map<String, Integer> effectsByKey = new HashMap<>();

    /** When each balancer was last told to use another discovery. */
    private final Map<String, Long> discoveryMovedMicros = new HashMap<>();

    private final Margins margins = new Margins();
    private final StallDetector stalls = new StallDetector(STALL_CHECK_INTERVAL_MICROS);
    private final List<String> descriptions = new ArrayList<>();
    private final Map<Integer, Integer> violationsByRule = new TreeMap<>();
    private final Map<String, Integer> answersByKind = new TreeMap<>();
    private ArrivalListener arrivalListener = (balancer, node, nowMicros) -> {};
    private long[] latenciesMicros = new long[INITIAL_LATENCIES];
    private int latencyCount;
    private double offeredWeight;
    private double servedWeight;
    private long offeredRequests;
    private long attempts;
    private double warmUpPeak;

    /** The platform's rules, by their numbers. */
    private enum Rule {
        /** Each request gets one answer, in time and from the node that served it. */
        ANSWERS(1),
        /** Only what clients sent is executed, and no more often than its class allows. */
        EXECUTION(2),
        /** A draining node gets no new requests after a grace period. */
        DRAINING(3),
        /** A node that warms up is not overloaded. */
        WARM_UP(4);

        private final int number;

        Rule(int number) {
            this.number = number;
        }
    }

    /** How much of each limit was used. */
    public static final class Margins {
        private final MarginHistogram drains = new MarginHistogram();
        private final MarginHistogram slowStarts = new MarginHistogram();
        private final MarginHistogram departures = new MarginHistogram();
        private final MarginHistogram budgets = new MarginHistogram();
        private final MarginHistogram answers = new MarginHistogram();

        /** By name: attempts after a drain, load in slow start, attempts after a client left, budgets, answers. */
        public Map<String, MarginHistogram> byName() {
            Map<String, MarginHistogram> all = new TreeMap<>();
            all.put("drain", drains);
            all.put("slow_start", slowStarts);
            all.put("client_left", departures);
            all.put("told_budget", budgets);
            all.put("answer", answers);
            return all;
        }
    }

    /** How a client saw its request end. */
    public enum Answer {
        SERVED("served"),
        REJECTED("refused"),
        FAILED("failed"),
        NONE("none");

        /** As metrics name it: scripts read these. */
        private final String metric;

        Answer(String metric) {
            this.metric = metric;
        }
    }

    /** Is notified of each attempt that reaches a node. */
    public interface ArrivalListener {
        /** An attempt of a balancer has reached a node. */
        void arrived(String balancer, String node, long nowMicros);
    }

    /** One request of a client, with its own id; a client's retry is another one. */
    private static final class ClientRequest {
        private final RequestClassModel requestClass;
        private final String idempotencyKey;
        private String balancer;
        private final long sentMicros;
        private final long deadlineMicros;
        private int effects;
        private boolean reportedAsExecuted;
        private Answer answer;
        private boolean reachedNode;
        /** When the client closed its connection before an answer; 0 if it did not. */
        private long leftMicros;

        ClientRequest(
                RequestClassModel requestClass,
                String idempotencyKey,
                String balancer,
                long sentMicros,
                long deadlineMicros) {
            this.requestClass = requestClass;
            this.idempotencyKey = idempotencyKey;
            this.balancer = balancer;
            this.sentMicros = sentMicros;
            this.deadlineMicros = deadlineMicros;
        }

        /** Whether the client was told that nothing was executed although something with an effect was. */
        boolean executedThoughRejected() {
            return answer == Answer.REJECTED && effects > 0 && !requestClass.safe();
        }
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
        this.site = site;
    }

    /** Sets the listener for arrivals at nodes. */
    public void onArrival(ArrivalListener listener) {
        arrivalListener = listener;
    }

    private void violation(Rule rule, String description) {
        violationsByRule.merge(rule.number, 1, Integer::sum);
        if (descriptions.size() < MAX_DESCRIPTIONS) {
            descriptions.add("rule " + rule.number + ": " + description);
        }
    }

    /** How much of each limit was used; no copy. */
    public Margins margins() {
        return margins;
    }

    /** Descriptions of the first violations. */
    public List<String> violations() {
        return List.copyOf(descriptions);
    }

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

    private boolean tooLate(ClientRequest request, long nowMicros) {
        return nowMicros > request.deadlineMicros + ANSWER_SLACK_MICROS + stalls.stalledSince(request.sentMicros);
    }

    // ---- Clients -------------------------------------------------------------------------------------

    /** A client has a new request; its retries count as part of it. */
    public void requestOffered(RequestClassModel requestClass) {
        offeredRequests++;
        offeredWeight += requestClass.priorityWeight();
    }

    /** A client sends a request to a balancer; {@code idempotencyKey} may be null. */
    public void requestSent(
            String id,
            RequestClassModel requestClass,
            String idempotencyKey,
            String balancer,
            long nowMicros,
            long deadlineMicros) {
        requestsById.put(id, new ClientRequest(requestClass, idempotencyKey, balancer, nowMicros, deadlineMicros));
        requestsByBalancer.merge(balancer, 1L, Long::sum);
    }

    /** No connection could be opened for a request, so that it was not sent after all. */
    public void connectFailed(String id) {
        requestsByBalancer.merge(requestsById.remove(id).balancer, -1L, Long::sum);
    }

    /** A client has a complete answer; {@code firstSentMicros} is when it sent the first of its retries. */
    public void requestAnswered(String id, Answer answer, boolean bodyMatches, long firstSentMicros, long nowMicros) {
        ClientRequest request = requestsById.get(id);
        if (request.answer != null) {
            violation(Rule.ANSWERS, id + " answered twice");
            return;
        }
        request.answer = answer;
        answersByKind.merge(answer.metric, 1, Integer::sum);
        long allowedMicros = request.deadlineMicros + ANSWER_SLACK_MICROS - request.sentMicros;
        margins.answers.add((nowMicros - request.sentMicros) / (double) Math.max(1, allowedMicros));
        if (tooLate(request, nowMicros)) {
            long lateMs = (nowMicros - request.deadlineMicros) / 1_000;
            violation(Rule.ANSWERS, id + " answered " + lateMs + " ms too late by " + request.balancer);
        }
        if (answer == Answer.SERVED) {
            served(id, request, bodyMatches, nowMicros - firstSentMicros);
        }
    }

    private void served(String id, ClientRequest request, boolean bodyMatches, long latencyMicros) {
        if (!bodyMatches) {
            violation(Rule.ANSWERS, id + " served with a body that no order node made for it");
        }
        if (latencyMicros <= request.requestClass.latencyObjectiveMs() * 1_000L) {
            servedWeight += request.requestClass.priorityWeight();
        }
        if (latencyCount == latenciesMicros.length) {
            latenciesMicros = Arrays.copyOf(latenciesMicros, 2 * latencyCount);
        }
        latenciesMicros[latencyCount++] = latencyMicros;
    }

    /** A client sends a request once more, to another balancer, as the first one closed its connection unread. */
    public void requestMoved(String id, String balancer) {
        requestsById.get(id).balancer = balancer;
    }

    /** Whether an attempt of the request has reached a node, so that its balancer has read it. */
    public boolean hasReachedNode(String id) {
        return requestsById.get(id).reachedNode;
    }

    /** A client closes its connection before it has an answer. */
    public void clientLeft(String id, long nowMicros) {
        requestsById.get(id).leftMicros = nowMicros;
    }

    /** The connection was closed without an answer. */
    public void connectionLost(String id, long nowMicros) {
        ClientRequest request = requestsById.get(id);
        if (request.answer != null || request.leftMicros != 0) {
            return;
        }
        request.answer = Answer.NONE;
        answersByKind.merge(Answer.NONE.metric, 1, Integer::sum);
        if (!isBalancerDown(request.balancer)) {
            long afterMs = (nowMicros - request.sentMicros) / 1_000;
            violation(Rule.ANSWERS, id + " lost by " + request.balancer + " after " + afterMs + " ms");
        }
    }

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
        Map<String, Long> closedNodes = closedSince.computeIfAbsent(balancer, name -> new HashMap<>());
        if (ready) {
            closedNodes.remove(node);
            return;
        }
        Long movedMicros = discoveryMovedMicros.get(balancer);
        boolean moving = movedMicros != null && nowMicros - movedMicros < DISCOVERY_MOVE_MICROS;
        closedNodes.putIfAbsent(node, moving ? movedMicros + DISCOVERY_MOVE_MICROS : nowMicros);
    }

    /** A balancer was told to use another discovery. */
    public void discoveryMoved(String balancer, long nowMicros) {
        discoveryMovedMicros.put(balancer, nowMicros);
    }

    // ---- Order nodes ---------------------------------------------------------------------------------

    /** A complete attempt has reached a node; returns its class, or null if no client sent such a request. */
    public RequestClassModel attemptArrived(String id, String node, long nowMicros) {
        ClientRequest request = requestsById.get(id);
        attempts++;
        if (request == null) {
            violation(Rule.EXECUTION, "an unknown request at " + node + ": " + id);
            return null;
        }
        boolean answered = request.answer != null && request.answer != Answer.NONE;
        if (answered && tooLate(request, nowMicros)) {
            violation(Rule.ANSWERS, id + " sent to " + node + " long after its answer");
        }
        request.reachedNode = true;
        arrivalListener.arrived(request.balancer, node, nowMicros);
        checkDeparture(id, request, node, nowMicros);
        checkDraining(id, request.balancer, node, nowMicros);
        return request.requestClass;
    }

    private void checkDraining(String id, String balancer, String node, long nowMicros) {
        Long closedMicros = closedSince.getOrDefault(balancer, Map.of()).get(node);
        if (closedMicros == null) {
            return;
        }
        long graceMicros = site.rules().drainGraceMs() * 1_000 + SOCKET_SLACK_MICROS;
        margins.drains.add((nowMicros - closedMicros) / (double) graceMicros);
        if (nowMicros - closedMicros > graceMicros + stalls.stalledSince(closedMicros)) {
            long afterMs = (nowMicros - closedMicros) / 1_000;
            violation(
                    Rule.DRAINING, id + " sent to " + node + " " + afterMs + " ms after " + balancer + " was notified");
        }
    }

    private void checkDeparture(String id, ClientRequest request, String node, long nowMicros) {
        if (request.leftMicros == 0) {
            return;
        }
        long afterMicros = nowMicros - request.leftMicros;
        margins.departures.add(afterMicros / (double) DEPARTURE_MICROS);
        if (afterMicros > DEPARTURE_MICROS + stalls.stalledSince(request.leftMicros)) {
            violation(
                    Rule.ANSWERS,
                    id + " sent to " + node + " by " + request.balancer + " " + afterMicros / 1_000
                            + " ms after its client had left");
        }
    }

    /** An attempt tells its node how long the balancer will wait. */
    public void attemptBudget(String id, String node, long budgetMs, long nowMicros) {
        ClientRequest request = requestsById.get(id);
        if (request == null) {
            return;
        }
        long excessMicros = nowMicros + budgetMs * 1_000 - request.deadlineMicros;
        margins.budgets.add(excessMicros / (double) BUDGET_SLACK_MICROS);
        if (excessMicros > BUDGET_SLACK_MICROS + stalls.stalledSince(request.sentMicros)) {
            violation(
                    Rule.ANSWERS,
                    id + " by " + request.balancer + " told " + node + " " + excessMicros / 1_000
                            + " ms more than is left to its client");
        }
    }

    /** An attempt was executed with an effect. */
    public void attemptExecuted(String id, String node) {
        ClientRequest request = requestsById.get(id);
        request.effects++;
        int effectsOfKey =
                request.idempotencyKey == null ? 0 : effectsByKey.merge(request.idempotencyKey, 1, Integer::sum);
        if (request.effects > 1 && !request.requestClass.safe()) {
            violation(Rule.EXECUTION, id + " took effect again at " + node);
        } else if (effectsOfKey > 1) {
            violation(
                    Rule.EXECUTION,
                    id + " took effect at " + node + " after another request with key " + request.idempotencyKey);
        }
        if (request.executedThoughRejected()) {
            request.reportedAsExecuted = true;
            violation(Rule.EXECUTION, id + " rejected, and executed at " + node);
        }
    }

    /** The recent load on a node that warms up, as a share of what overloads it. */
    public void warmUpLoad(double shareOfBudget) {
        warmUpPeak = Math.max(warmUpPeak, shareOfBudget);
        margins.slowStarts.add(shareOfBudget);
    }

    /** A node was overloaded while it warmed up, and has failed. */
    public void nodeOverloaded(String node) {
        violation(Rule.WARM_UP, node + " was overloaded while it warmed up");
    }

    // ---- Metrics -------------------------------------------------------------------------------------

    /** The metrics so far. Requests that were executed before they were rejected are found here. */
    public Summary summary() {
        Map<Integer, Integer> violations = new TreeMap<>(violationsByRule);
        int executedThenRejected = (int) requestsById.values().stream()
                .filter(request -> request.executedThoughRejected() && !request.reportedAsExecuted)
                .count();
        if (executedThenRejected > 0) {
            violations.merge(Rule.EXECUTION.number, executedThenRejected, Integer::sum);
        }
        long[] sorted = Arrays.copyOf(latenciesMicros, latencyCount);
        Arrays.sort(sorted);
        return new Summary(
                offeredRequests,
                offeredWeight == 0 ? 1 : servedWeight / offeredWeight,
                percentileMs(sorted, 0.5),
                percentileMs(sorted, 0.99),
                attempts,
                new TreeMap<>(answersByKind),
                violations,
                warmUpPeak);
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
        return requestsById.values().stream()
                .filter(request -> request.answer == null && request.leftMicros == 0)
                .count();
    }
}
