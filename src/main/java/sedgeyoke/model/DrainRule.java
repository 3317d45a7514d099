package sedgeyoke.model;

import java.util.HashMap;
import java.util.Map;

/**
 * Rule 3: a balancer sends no new attempts to a node after a grace period, which starts when the balancer is notified
 * that the node is not ready. The period is the site's {@code drainGraceMs}, extended by the stalls of the checker's
 * thread.
 */
final class DrainRule {
    /** After a change of its discovery address, a balancer counts as not yet notified for this long. */
    private static final long DISCOVERY_CHANGE_MICROS = 4_000_000;

    private final ViolationLog violations;
    private final StallDetector stalls;
    private final long graceMicros;
    /** When a balancer was notified that a node is not ready, by balancer and node. */
    private final Map<String, Map<String, Long>> notReadySinceMicros = new HashMap<>();

    private final Map<String, Long> discoveryChangedMicros = new HashMap<>();
    private final MarginHistogram margins = new MarginHistogram();

    DrainRule(SiteModel.RuleSpec rules, ViolationLog violations, StallDetector stalls) {
        this.violations = violations;
        this.stalls = stalls;
        this.graceMicros = rules.drainGraceMs() * 1_000 + InvariantChecker.SOCKET_TOLERANCE_MICROS;
    }

    /** Records that a balancer was notified that a node is ready. */
    void ready(String balancer, String node) {
        Map<String, Long> nodes = notReadySinceMicros.get(balancer);
        if (nodes != null) {
            nodes.remove(node);
        }
    }

    /** Records that a balancer was notified that a node is not ready; repeated notifications are ignored. */
    void notReady(String balancer, String node, long nowMicros) {
        Long changedMicros = discoveryChangedMicros.get(balancer);
        boolean changing = changedMicros != null && nowMicros - changedMicros < DISCOVERY_CHANGE_MICROS;
        long knownMicros = changing ? changedMicros + DISCOVERY_CHANGE_MICROS : nowMicros;
        notReadySinceMicros.computeIfAbsent(balancer, name -> new HashMap<>()).putIfAbsent(node, knownMicros);
    }

    /** Records that a balancer was configured to use another discovery, to which it may take time to connect. */
    void discoveryChanged(String balancer, long nowMicros) {
        discoveryChangedMicros.put(balancer, nowMicros);
    }

    /** Checks whether the grace period had passed when an attempt reached a node. */
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

    /** Time from a notification to the arrival of an attempt, as a share of the grace period. */
    MarginHistogram margins() {
        return margins;
    }
}
