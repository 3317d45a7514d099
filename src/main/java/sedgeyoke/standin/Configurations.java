package sedgeyoke.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import sedgeyoke.model.RequestClassModel;
import sedgeyoke.model.SiteModel;

/** Writes the platform's configuration files for balancers (see the pages DEPLOY and PROTOCOL). */
public final class Configurations {
    private static final ObjectMapper JSON = new ObjectMapper();

    private Configurations() {}

    /**
     * The settings that differ between the balancers of a site.
     *
     * @param listen the address on which it listens for clients
     * @param discovery the address of its discovery agent
     * @param zone index of its zone
     * @param position its index in its group
     * @param groupSize balancers in its group
     * @param seed seed of its random numbers
     */
    public record BalancerSpec(
            String name, String listen, String discovery, int zone, int position, int groupSize, long seed) {}

    /** The configuration of a balancer of a site. */
    public static String of(SiteModel site, BalancerSpec balancer) {
        ObjectNode root = JSON.createObjectNode()
                .put("name", balancer.name())
                .put("listen", balancer.listen())
                .put("discovery", balancer.discovery())
                .put("seed", Long.toHexString(balancer.seed()));
        root.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", 1_024);
        root.putObject("known").put("revision", 0).put("complete", true).putArray("members");
        putSettings(root.putObject("settings"), site, balancer);
        return root.toString();
    }

    private static void putSettings(ObjectNode settings, SiteModel site, BalancerSpec balancer) {
        settings.put("az", balancer.zone())
                .put("group-size", balancer.groupSize())
                .put("position", balancer.position())
                .put("discovery", "pushed")
                .put("tick-s", 0.005)
                .put("weights", "silent")
                .put("counted-by", "request");
        site.zones().forEach(settings.putArray("localities")::add);
        SiteModel.KINDS.forEach(settings.putArray("kinds")::add);
        settings.putObject("extra").put("warm-keys", true);
        settings.putObject("prices")
                .put("cross-zone", 0.06)
                .put("late-fail", 0.05)
                .put("waste", 0.02);
        ObjectNode report = settings.putObject("report").put("via", "piggyback");
        report.putArray("names").add("waiting").add("cpu").add("avg_ms");
        putLimits(settings.putObject("ceilings"), site);
        putRules(settings.putObject("rules"), site);
        ArrayNode classes = settings.putArray("classes");
        site.classes().forEach(requestClass -> putClass(classes.addObject(), requestClass));
    }

    private static void putLimits(ObjectNode limits, SiteModel site) {
        limits.put("cancel", true)
                .put("may-duplicate", true)
                .put("try-limit", 4)
                .put("max-open", 20_000)
                .put("conn-idle-s", 10.0)
                .put("connect-timeout-s", 0.12)
                .put("multiplex", 1)
                .put("retry-after", site.retryAfter())
                .put("max-retry-after-s", 1.2);
    }

    private static void putRules(ObjectNode rules, SiteModel site) {
        rules.put("answer-slack-s", 0.02)
                .put("ask-within-s", 10.0)
                .put("drain-grace-s", site.rules().drainGraceMs() / 1e3)
                .put("start-capacity", site.rules().startCapacity())
                .put("cold-s", site.rules().warmUpMs() / 1e3)
                .put("fall-multiple", site.rules().overloadMultiple())
                .put("fall-s", site.rules().overloadWindowMs() / 1e3);
    }

    private static void putClass(ObjectNode node, RequestClassModel requestClass) {
        node.put("name", requestClass.name())
                .put("repeat", requestClass.idempotency().settingsName())
                .put("aim-s", requestClass.latencyObjectiveMs() / 1e3)
                .put("give-up-s", requestClass.clientTimeoutMs() / 1e3)
                .put("worth", requestClass.priorityWeight())
                .put("late-worth", 0.0)
                .put("dedup-scope", requestClass.keyed() ? "zone" : "all")
                .put("memory-span-s", 2.5);
    }
}
