package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.RequestClass;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.policy.LoadBalancingPolicy.Tenant;

/** Checks settings before a module is built on them; it decides nothing. */
final class SettingsValidator {
    private SettingsValidator() {}

    /** Refuses bad settings with the name of the field. */
    static void check(Settings s) {
        require(!s.classes().isEmpty(), "classes");
        require(s.zones() >= 1, "zones");
        require(s.zone() >= 0 && s.zone() < s.zones(), "zone");
        require(s.groupSize() >= 1, "groupSize");
        require(s.position() >= 0, "position");
        require(s.overQuotaPriority() >= 0, "overShareWorth");
        require(s.clockTick() >= 0, "tick");
        for (RequestClass c : s.classes()) {
            require(c.latencyObjective() > 0, "classes.aim");
            require(c.clientTimeout() > 0, "classes.giveUp");
            require(c.priorityWeight() >= 0, "classes.worth");
            require(c.latePriorityWeight() >= 0, "classes.lateWorth");
            require(c.deduplicationWindow() >= 0, "classes.memorySpan");
            require(c.objectiveStretch() >= 0, "classes.aimStretch");
        }
        for (Tenant t : s.tenants()) {
            require(t.allowance() >= 0, "tenants.allowance");
            require(t.share() >= 0, "tenants.share");
        }
        require(s.limits().maxAttempts() >= 1, "limits.maxAttempts");
        require(s.limits().maxConcurrentRequests() >= 0, "limits.maxOpen");
        require(s.rules().initialCapacity() >= 0 && s.rules().initialCapacity() <= 1, "rules.startCapacity");
        require(s.rules().slowStartTime() >= 0, "rules.coldTime");
        require(s.rules().drainGrace() >= 0, "rules.drainGrace");
        require(s.rules().overloadMultiple() >= 0, "rules.fallMultiple");
        require(s.rules().overloadWindow() >= 0, "rules.fallTime");
        require(s.prices().healthCheck() >= 0, "prices.probe");
        require(s.prices().crossZone() >= 0, "prices.crossZone");
        require(s.prices().wastedWork() >= 0, "prices.waste");
        require(s.prices().lateFailure() >= 0, "prices.lateFail");
        require(s.prices().handshake() >= 0, "prices.handshake");
        require(s.limits().maxRetryAfter() >= 0, "limits.maxRetryAfter");
        require(s.limits().connectTimeout() >= 0, "limits.connectTimeout");
        require(s.limits().idleTimeout() >= 0, "limits.connectIdle");
        require(s.limits().streamsPerConnection() >= 0, "limits.streamsPerConnection");
        require(s.rules().responseSlack() >= 0, "rules.answerSlack");
        require(s.rules().endpointPollLimit() >= 0, "rules.askWithin");
    }

    private static void require(boolean good, String field) {
        if (!good) {
            throw new IllegalArgumentException("bad setting: " + field);
        }
    }
}
