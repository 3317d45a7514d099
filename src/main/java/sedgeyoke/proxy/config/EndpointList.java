package sedgeyoke.proxy.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;
import sedgeyoke.proxy.common.TimeUnits;
import sedgeyoke.simulator.SettingsReader;

/**
 * An endpoint list in the format of discovery, validated completely before any of it is used.
 *
 * @param revision the revision from which a watch continues; -1 for none
 * @param complete whether the list names all upstreams, or only those that have changed
 * @param members its entries
 */
public record EndpointList(long revision, boolean complete, List<Member> members) {
    static final EndpointList EMPTY = new EndpointList(-1, true, List.of());
    private static final Map<String, State> STATES_BY_PHASE =
            Map.of("up", State.READY, "draining", State.DRAINING, "removed", State.REMOVED);

    /**
     * One entry: the upstream as the policy gets it, and the address to connect to (null if a removed upstream has
     * none).
     */
    public record Member(Upstream upstream, InetSocketAddress address) {}

    /** Reads a list. Localities and kinds become indices into the settings; unknown ones become -1. */
    public static EndpointList read(JsonNode root, SettingsReader.InstanceSettings instanceSettings)
            throws InvalidEndpointListException {
        if (!root.path("revision").canConvertToLong()
                || !root.path("complete").isBoolean()
                || !root.path("members").isArray()) {
            throw new InvalidEndpointListException("no revision, complete or members");
        }
        List<Member> members = new ArrayList<>();
        for (JsonNode member : root.path("members")) {
            String id = member.path("id").asText("");
            State state = STATES_BY_PHASE.get(member.path("phase").asText(""));
            InetSocketAddress address = IpAddress.parse(member.path("host_port").asText(""));
            if (id.isEmpty() || state == null || (address == null && state != State.REMOVED)) {
                throw new InvalidEndpointListException("an entry without id, phase or host_port");
            }
            // The policy's clock is based on the wall clock, so launch times need no conversion.
            members.add(new Member(
                    new Upstream(
                            id,
                            instanceSettings
                                    .localities()
                                    .indexOf(member.path("locality").asText("")),
                            instanceSettings
                                    .kinds()
                                    .indexOf(member.path("flavor").asText("")),
                            member.path("cell").asInt(),
                            state,
                            member.path("size").asDouble(1),
                            member.path("up_since_ms").asLong() * TimeUnits.MICROS_PER_MILLI),
                    address));
        }
        return new EndpointList(
                root.path("revision").asLong(), root.path("complete").asBoolean(), members);
    }

    /** The entries as the policy gets them. */
    public List<Upstream> upstreams() {
        return members.stream().map(Member::upstream).toList();
    }
}
