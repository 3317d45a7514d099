package sedgeyoke.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;
import sedgeyoke.simulator.SettingsReader;

/** A list of upstreams in discovery's form, whole or changes of it, read before any of it is believed. */
public record EndpointList(long revision, boolean complete, List<Member> members) {
    static final EndpointList EMPTY = new EndpointList(-1, true, List.of());
    private static final Map<String, State> PHASES =
            Map.of("up", State.READY, "draining", State.DRAINING, "removed", State.REMOVED);

    /** One entry: what the module is told, and where to connect to. */
    public record Member(Upstream upstream, InetSocketAddress address) {}

    /** A reply that is not a list of upstreams. */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message);
        }
    }

    /** Localities and kinds become the indices of the settings; one that is not in them becomes -1. */
    public static EndpointList read(JsonNode root, SettingsReader.Found facts) throws Malformed {
        if (!root.path("revision").canConvertToLong()
                || !root.path("complete").isBoolean()
                || !root.path("members").isArray()) {
            throw new Malformed("no revision, complete or members");
        }
        List<Member> members = new ArrayList<>();
        for (JsonNode m : root.path("members")) {
            String id = m.path("id").asText("");
            State state = PHASES.get(m.path("phase").asText(""));
            InetSocketAddress address = IpAddress.parse(m.path("host_port").asText(""));
            if (id.isEmpty() || state == null || address == null && state != State.REMOVED) {
                throw new Malformed("an entry without id, phase or host_port");
            }
            // The module's clock is the wall clock as it stood at the start, so times of start map as they are.
            members.add(new Member(
                    new Upstream(
                            id,
                            facts.localities().indexOf(m.path("locality").asText("")),
                            facts.kinds().indexOf(m.path("flavor").asText("")),
                            m.path("cell").asInt(),
                            state,
                            m.path("size").asDouble(1),
                            m.path("up_since_ms").asLong() * 1_000),
                    address));
        }
        return new EndpointList(
                root.path("revision").asLong(), root.path("complete").asBoolean(), members);
    }

    /** The entries as the module is told them. */
    public List<Upstream> upstreams() {
        return members.stream().map(Member::upstream).toList();
    }
}
