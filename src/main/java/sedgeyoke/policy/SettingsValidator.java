package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.RequestClass;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.policy.LoadBalancingPolicy.Tenant;

/** Validates settings before a policy is created from them; it decides nothing. */
final class SettingsValidator {
    private SettingsValidator() {}

    /**
     * Throws for the first invalid field, with its path in the terms of the platform's JSON.
     *
     * @throws IllegalArgumentException if a field is invalid
     */
    static void check(Settings settings) {
        require(!settings.classes().isEmpty(), "classes");
        require(settings.zones() >= 1, "zones");
        require(settings.zone() >= 0 && settings.zone() < settings.zones(), "zone");
        require(settings.groupSize() >= 1, "groupSize");
        require(settings.position() >= 0, "position");
        require(settings.overQuotaPriority() >= 0, "overShareWorth");
        require(settings.clockTickMicros() >= 0, "tick");
        for (RequestClass requestClass : settings.classes()) {
            require(requestClass.latencyObjectiveMicros() > 0, "classes.aim");
            require(requestClass.clientTimeoutMicros() > 0, "classes.giveUp");
            require(requestClass.priorityWeight() >= 0, "classes.worth");
            require(requestClass.latePriorityWeight() >= 0, "classes.lateWorth");
            require(requestClass.deduplicationWindowMicros() >= 0, "classes.memorySpan");
            require(requestClass.objectiveStretch() >= 0, "classes.aimStretch");
        }
        for (Tenant tenant : settings.tenants()) {
            require(tenant.allowance() >= 0, "tenants.allowance");
            require(tenant.share() >= 0, "tenants.share");
        }
        require(settings.limits().maxAttempts() >= 1, "limits.maxAttempts");
        require(settings.limits().maxConcurrentRequests() >= 0, "limits.maxOpen");
        require(
                settings.rules().initialCapacity() >= 0 && settings.rules().initialCapacity() <= 1,
                "rules.startCapacity");
        require(settings.rules().slowStartTimeMicros() >= 0, "rules.coldTime");
        require(settings.rules().drainGraceMicros() >= 0, "rules.drainGrace");
        require(settings.rules().overloadMultiple() >= 0, "rules.fallMultiple");
        require(settings.rules().overloadWindowMicros() >= 0, "rules.fallTime");
        require(settings.prices().healthCheck() >= 0, "prices.probe");
        require(settings.prices().crossZone() >= 0, "prices.crossZone");
        require(settings.prices().wastedWork() >= 0, "prices.waste");
        require(settings.prices().lateFailure() >= 0, "prices.lateFail");
        require(settings.prices().handshake() >= 0, "prices.handshake");
        require(settings.limits().maxRetryAfterMicros() >= 0, "limits.maxRetryAfter");
        require(settings.limits().connectTimeoutMicros() >= 0, "limits.connectTimeout");
        require(settings.limits().idleTimeoutMicros() >= 0, "limits.connectIdle");
        require(settings.limits().streamsPerConnection() >= 0, "limits.streamsPerConnection");
        require(settings.rules().responseSlackMicros() >= 0, "rules.answerSlack");
        require(settings.rules().endpointPollLimitMicros() >= 0, "rules.askWithin");
    }

    private static void require(boolean good, String field) {
        if (!good) {
            throw new IllegalArgumentException("bad setting: " + field);
        }
    }
}
