package sedgeyoke.plan;

import java.util.Map;
import java.util.TreeMap;

/**
 * Keeps the last plan of each planner, and selects the planner whose plans the forwarder applies: the active one to
 * which most forwarders report.
 */
final class PlannerSelection {
    /** A planner whose last plan is older is not active and cannot be selected. */
    static final long PLANNER_TIMEOUT_MICROS = 1_000_000;
    /**
     * While the selected planner is active, it is replaced only by one whose coverage is larger by more than this
     * factor.
     */
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

    /** Returns the last plan of a planner, or null if it has sent none. */
    ReceivedPlan lastPlanOf(String planner) {
        return lastPlans.get(planner);
    }

    /** Returns the last plan of each planner, in the order of the planners' names. */
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

    /** Returns the last plan of the selected planner, or null if no planner is active. */
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

    /** Returns when the latest plan of any planner was received; 0 if none was. */
    long lastReceivedAtMicros() {
        return lastPlans.values().stream()
                .mapToLong(ReceivedPlan::receivedAtMicros)
                .max()
                .orElse(0);
    }
}
