package sedgeyoke.drill.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import sedgeyoke.standin.Configurations;

/** Creates the configurations of the balancers of a run, with the planted mistake if there is one. */
final class SoakConfigurations {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double NO_LIMIT = 1_000;

    private final SoakPlan plan;
    private final Mistake mistake;

    SoakConfigurations(SoakPlan plan, Mistake mistake) {
        this.plan = plan;
        this.mistake = mistake;
    }

    /** The configuration of a balancer that starts with {@code known} as its endpoint list. */
    String of(String name, int port, String discovery, int zone, int position, String known) throws IOException {
        Configurations.BalancerSpec balancer = new Configurations.BalancerSpec(
                name, "127.0.0.1:" + port, discovery, zone, position, plan.balancers(), plan.seed() + position);
        String text = Configurations.of(plan.site(), balancer);
        ObjectNode root = (ObjectNode) JSON.readTree(text);
        root.set("known", JSON.readTree(known));
        ObjectNode settings = (ObjectNode) root.path("settings");
        if (plan.polled()) {
            settings.put("discovery", "on_request");
        }
        plant(settings);
        return root.toString();
    }

    private void plant(ObjectNode settings) {
        if (mistake == Mistake.NO_SLOW_START) {
            ((ObjectNode) settings.path("rules")).put("start-capacity", 1.0).put("fall-multiple", NO_LIMIT);
        } else if (mistake == Mistake.EFFECTS_REPEATED) {
            for (JsonNode requestClass : (ArrayNode) settings.path("classes")) {
                ((ObjectNode) requestClass).put("repeat", "free");
            }
        }
    }
}
