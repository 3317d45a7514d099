package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.Limits;
import sedgeyoke.policy.LoadBalancingPolicy.PlatformRules;
import sedgeyoke.policy.LoadBalancingPolicy.Prices;
import sedgeyoke.policy.LoadBalancingPolicy.RequestClass;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.policy.LoadBalancingPolicy.Tenant;

/** Validates settings before a policy is created from them. */
final class SettingsValidator {
    private SettingsValidator() {}

    /**
     * Checks all settings; the message has the first invalid field, by its path in the platform's JSON.
     *
     * @throws IllegalArgumentException if a field is invalid
     */
    static void check(Settings settings) {
        checkGeneral(settings);
        settings.classes().forEach(SettingsValidator::checkClass);
        settings.tenants().forEach(SettingsValidator::checkTenant);
        checkAttempts(settings.limits());
        checkRules(settings.rules());
        checkPrices(settings.prices());
        checkConnections(settings.limits());
        checkResponses(settings.rules());
    }

    private static void checkGeneral(Settings settings) {
        require(!settings.classes().isEmpty(), "classes");
        require(settings.zones() >= 1, "zones");
        require(settings.zone() >= 0 && settings.zone() < settings.zones(), "zone");
        require(settings.groupSize() >= 1, "groupSize");
        require(settings.position() >= 0, "position");
        require(settings.overQuotaPriority() >= 0, "overShareWorth");
        require(settings.clockTickMicros() >= 0, "tick");
    }

    private static void checkClass(RequestClass requestClass) {
        require(requestClass.latencyObjectiveMicros() > 0, "classes.aim");
        require(requestClass.clientTimeoutMicros() > 0, "classes.giveUp");
        require(requestClass.priorityWeight() >= 0, "classes.worth");
        require(requestClass.latePriorityWeight() >= 0, "classes.lateWorth");
        require(requestClass.deduplicationWindowMicros() >= 0, "classes.memorySpan");
        require(requestClass.objectiveStretch() >= 0, "classes.aimStretch");
    }

    private static void checkTenant(Tenant tenant) {
        require(tenant.allowance() >= 0, "tenants.allowance");
        require(tenant.share() >= 0, "tenants.share");
    }

    private static void checkAttempts(Limits limits) {
        require(limits.maxAttempts() >= 1, "limits.maxAttempts");
        require(limits.maxConcurrentRequests() >= 0, "limits.maxOpen");
    }

    private static void checkRules(PlatformRules rules) {
        require(rules.initialCapacity() >= 0 && rules.initialCapacity() <= 1, "rules.startCapacity");
        require(rules.slowStartTimeMicros() >= 0, "rules.coldTime");
        require(rules.drainGraceMicros() >= 0, "rules.drainGrace");
        require(rules.overloadMultiple() >= 0, "rules.fallMultiple");
        require(rules.overloadWindowMicros() >= 0, "rules.fallTime");
    }

    private static void checkPrices(Prices prices) {
        require(prices.healthCheck() >= 0, "prices.probe");
        require(prices.crossZone() >= 0, "prices.crossZone");
        require(prices.wastedWork() >= 0, "prices.waste");
        require(prices.lateFailure() >= 0, "prices.lateFail");
        require(prices.handshake() >= 0, "prices.handshake");
    }

    private static void checkConnections(Limits limits) {
        require(limits.maxRetryAfterMicros() >= 0, "limits.maxRetryAfter");
        require(limits.connectTimeoutMicros() >= 0, "limits.connectTimeout");
        require(limits.idleTimeoutMicros() >= 0, "limits.connectIdle");
        require(limits.streamsPerConnection() >= 0, "limits.streamsPerConnection");
    }

    private static void checkResponses(PlatformRules rules) {
        require(rules.responseSlackMicros() >= 0, "rules.answerSlack");
        require(rules.endpointPollLimitMicros() >= 0, "rules.askWithin");
    }

    private static void require(boolean valid, String field) {
        if (!valid) {
            throw new IllegalArgumentException("bad setting: " + field);
        }
    }
}
