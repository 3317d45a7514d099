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
        require(s.overShareWorth() >= 0, "overShareWorth");
        require(s.tick() >= 0, "tick");
        for (RequestClass c : s.classes()) {
            require(c.aim() > 0, "classes.aim");
            require(c.giveUp() > 0, "classes.giveUp");
            require(c.worth() >= 0, "classes.worth");
            require(c.lateWorth() >= 0, "classes.lateWorth");
            require(c.memorySpan() >= 0, "classes.memorySpan");
            require(c.aimStretch() >= 0, "classes.aimStretch");
        }
        for (Tenant t : s.tenants()) {
            require(t.allowance() >= 0, "tenants.allowance");
            require(t.share() >= 0, "tenants.share");
        }
        require(s.limits().maxAttempts() >= 1, "limits.maxAttempts");
        require(s.limits().maxOpen() >= 0, "limits.maxOpen");
        require(s.rules().startCapacity() >= 0 && s.rules().startCapacity() <= 1, "rules.startCapacity");
        require(s.rules().coldTime() >= 0, "rules.coldTime");
        require(s.rules().drainGrace() >= 0, "rules.drainGrace");
        require(s.rules().fallMultiple() >= 0, "rules.fallMultiple");
        require(s.rules().fallTime() >= 0, "rules.fallTime");
        require(s.prices().probe() >= 0, "prices.probe");
        require(s.prices().crossZone() >= 0, "prices.crossZone");
        require(s.prices().waste() >= 0, "prices.waste");
        require(s.prices().lateFail() >= 0, "prices.lateFail");
        require(s.prices().handshake() >= 0, "prices.handshake");
        require(s.limits().maxRetryAfter() >= 0, "limits.maxRetryAfter");
        require(s.limits().connectTimeout() >= 0, "limits.connectTimeout");
        require(s.limits().connectIdle() >= 0, "limits.connectIdle");
        require(s.limits().streamsPerConnection() >= 0, "limits.streamsPerConnection");
        require(s.rules().answerSlack() >= 0, "rules.answerSlack");
        require(s.rules().askWithin() >= 0, "rules.askWithin");
    }

    private static void require(boolean good, String field) {
        if (!good) {
            throw new IllegalArgumentException("bad setting: " + field);
        }
    }
}
