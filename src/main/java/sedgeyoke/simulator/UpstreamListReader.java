package sedgeyoke.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;

/** Parses the upstreams of an endpoint list from JSON. */
final class UpstreamListReader {
    private static final Map<String, State> STATES =
            Map.of("Ready", State.READY, "Terminating", State.DRAINING, "Gone", State.REMOVED);

    private UpstreamListReader() {}

    /** Reads the upstreams; the parser must be at the start of their array. */
    static List<Upstream> read(JsonParser json) throws InvalidInputException, IOException {
        List<Upstream> upstreams = new ArrayList<>();
        while (json.nextToken() == JsonToken.START_OBJECT) {
            upstreams.add(readUpstream(json));
        }
        return upstreams;
    }

    private static Upstream readUpstream(JsonParser json) throws InvalidInputException, IOException {
        String id = null;
        int zone = 0;
        int kind = 0;
        int cell = 0;
        State state = null;
        double rating = 1;
        double launchedSeconds = 0;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            if (json.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "upstream" -> id = json.getText();
                case "failure-domain" -> zone = (int) Event.number(json, name);
                case "type" -> kind = (int) Event.number(json, name);
                case "block" -> cell = (int) Event.number(json, name);
                case "readiness" -> state = STATES.get(json.getText());
                case "rating" -> rating = Event.number(json, name);
                case "launched-s" -> launchedSeconds = Event.number(json, name);
                default -> json.skipChildren();
            }
        }
        Event.require(id != null, "upstream (in elements)");
        Event.require(state != null, "readiness (in elements)");
        return new Upstream(id, zone, kind, cell, state, rating, WireTime.micros(launchedSeconds));
    }
}
