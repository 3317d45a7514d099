package sedgeyoke.model;

import java.util.HashMap;
import java.util.Map;

/**
 * Rule 3: a balancer sends a node nothing new once a grace period has passed since it was notified that the node is not
 * ready. The period is the site's {@code drainGraceMs}, extended by the time in which the checker itself stood still.
 */
final class DrainRule {
    /** After a balancer was told to use another discovery, it counts as notified of nothing for this long. */
    private static final long DISCOVERY_CHANGE_MICROS = 4_000_000;

    private final ViolationLog violations;
    private final StallDetector stalls;
    private final long graceMicros;
    /** By balancer and node: since when the balancer has known that the node is not ready. */
    private final Map<String, Map<String, Long>> notReadySinceMicros = new HashMap<>();

    private final Map<String, Long> discoveryChangedMicros = new HashMap<>();
    private final MarginHistogram margins = new MarginHistogram();

    DrainRule(SiteModel.RuleSpec rules, ViolationLog violations, StallDetector stalls) {
        this.violations = violations;
        this.stalls = stalls;
        this.graceMicros = rules.drainGraceMs() * 1_000 + InvariantChecker.SOCKET_TOLERANCE_MICROS;
    }

    /** A balancer knows that a node is ready again. */
    void ready(String balancer, String node) {
        Map<String, Long> nodes = notReadySinceMicros.get(balancer);
        if (nodes != null) {
            nodes.remove(node);
        }
    }

    /** A balancer knows that a node is not ready; of several such notifications the first counts. */
    void notReady(String balancer, String node, long nowMicros) {
        Long changedMicros = discoveryChangedMicros.get(balancer);
        boolean changing = changedMicros != null && nowMicros - changedMicros < DISCOVERY_CHANGE_MICROS;
        long knownMicros = changing ? changedMicros + DISCOVERY_CHANGE_MICROS : nowMicros;
        notReadySinceMicros.computeIfAbsent(balancer, name -> new HashMap<>()).putIfAbsent(node, knownMicros);
    }

    /** A balancer was told to use another discovery, which may take it a while. */
    void discoveryChanged(String balancer, long nowMicros) {
        discoveryChangedMicros.put(balancer, nowMicros);
    }

    /** An attempt has reached a node. */
    void attemptArrived(ObservedRequest request, String node, long nowMicros) {
        String balancer = request.balancer();
        Long notReadyMicros =
                notReadySinceMicros.getOrDefault(balancer, Map.of()).get(node);
        if (notReadyMicros == null) {
            return;
        }
        long afterMicros = nowMicros - notReadyMicros;
        margins.add(afterMicros / (double) graceMicros);
        if (afterMicros > graceMicros + stalls.stalledSince(notReadyMicros)) {
            violations.add(new Violation.SentWhileDraining(request.id(), node, balancer, afterMicros / 1_000));
        }
    }

    /** Time from a notification to an attempt as a share of the grace period. */
    MarginHistogram margins() {
        return margins;
    }
}
