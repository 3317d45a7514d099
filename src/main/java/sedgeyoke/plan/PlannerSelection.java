package sedgeyoke.plan;

import java.util.Map;
import java.util.TreeMap;

/** The last plan of each planner, and which planner's plans a forwarder applies: one that covers most forwarders. */
final class PlannerSelection {
    /** A planner whose last plan is older is not selected. */
    static final long PLANNER_TIMEOUT_MICROS = 1_000_000;
    /** The selected planner is replaced, while it is active, only by one that covers more by this factor. */
    private static final double COVERAGE_HYSTERESIS = 1.1;

    private final Map<String, ReceivedPlan> lastPlans = new TreeMap<>();
    private String selected;

    /** A plan and when it was received. */
    record ReceivedPlan(PlanMessage message, long receivedAtMicros) {
        boolean isActive(long nowMicros) {
            return nowMicros - receivedAtMicros <= PLANNER_TIMEOUT_MICROS;
        }

        int coverage() {
            return message.coverage();
        }
    }

    /** Stores a plan; returns false if it is no newer than the last one of the same incarnation. */
    boolean receive(long nowMicros, PlanMessage plan) {
        ReceivedPlan last = lastPlans.get(plan.planner());
        boolean stale = last != null
                && last.message().incarnation() == plan.incarnation()
                && last.message().sequence() >= plan.sequence();
        if (!stale) {
            lastPlans.put(plan.planner(), new ReceivedPlan(plan, nowMicros));
        }
        return !stale;
    }

    /** Returns the planner's last plan, or null. */
    ReceivedPlan lastPlanOf(String planner) {
        return lastPlans.get(planner);
    }

    /** The last plan of each planner, in the order of their names. */
    Iterable<ReceivedPlan> lastPlans() {
        return lastPlans.values();
    }

    /** Returns the name of the planner that is selected, or null if none is active. */
    String selected(long nowMicros) {
        ReceivedPlan best = null;
        for (ReceivedPlan plan : lastPlans.values()) {
            if (plan.isActive(nowMicros) && (best == null || plan.coverage() > best.coverage())) {
                best = plan;
            }
        }
        ReceivedPlan current = selected == null ? null : lastPlans.get(selected);
        boolean keepCurrent = current != null
                && current.isActive(nowMicros)
                && best.coverage() <= COVERAGE_HYSTERESIS * current.coverage();
        if (!keepCurrent) {
            selected = best == null ? null : best.message().planner();
        }
        return selected;
    }

    /** The last plan of the planner that is selected, or null. */
    ReceivedPlan selectedPlan(long nowMicros) {
        String planner = selected(nowMicros);
        return planner == null ? null : lastPlans.get(planner);
    }

    int activePlanners(long nowMicros) {
        int active = 0;
        for (ReceivedPlan plan : lastPlans.values()) {
            active += plan.isActive(nowMicros) ? 1 : 0;
        }
        return active;
    }

    /** When any planner's plan was received last; 0 for never. */
    long lastReceivedAtMicros() {
        return lastPlans.values().stream()
                .mapToLong(ReceivedPlan::receivedAtMicros)
                .max()
                .orElse(0);
    }
}
