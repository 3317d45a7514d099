package sedgeyoke.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import sedgeyoke.consensus.Member;
import sedgeyoke.consensus.server.ServerStatus;

/** Formats the status of a config server as text or JSON. Scripts parse the JSON keys, so they must not change. */
final class ConfigServerStatusFormat {
    private static final ObjectMapper JSON = new ObjectMapper();

    private ConfigServerStatusFormat() {}

    /** Returns the status as text: one line, and a second one if the server is the leader. */
    static List<String> text(ServerStatus status) {
        List<String> lines = new ArrayList<>();
        lines.add(String.format(
                Locale.ROOT,
                "%-12s %-9s term %d, commit %d of %d, version %d%s, %d followers, %s",
                status.name(),
                status.role(),
                status.term(),
                status.commitIndex(),
                status.lastIndex(),
                status.activeVersion(),
                status.pendingVersion() == 0 ? "" : " (" + status.pendingVersion() + " takes effect)",
                status.subscribers(),
                status.recovered() ? "sound" : "in doubt: " + status.suspectedLoss()));
        if (status.role().equals("leader")) {
            lines.add(String.format(
                    Locale.ROOT,
                    "  a version is in force everywhere within %d ms; balancers may act on contradicting versions for"
                            + " at most %d ms;"
                            + " %d balancers hold a lease",
                    status.activationBoundMillis(),
                    status.contradictionBoundMillis(),
                    status.leaseHolders()));
        }
        return lines;
    }

    /** Returns the status as one JSON object. */
    static ObjectNode json(ServerStatus status) {
        ObjectNode json = JSON.createObjectNode()
                .put("name", status.name())
                .put("role", status.role())
                .put("term", status.term())
                .put("leader", status.leader())
                .put("commit", status.commitIndex())
                .put("last", status.lastIndex())
                .put("sound", status.recovered())
                .put("doubt", status.suspectedLoss());
        ArrayNode voters = json.putArray("voters");
        status.voters().forEach(voter -> voters.add(json(voter)));
        json.set("learner", status.learner() == null ? JSON.nullNode() : json(status.learner()));
        return json.put("active", status.activeVersion())
                .put("pending", status.pendingVersion())
                .put("holders", status.leaseHolders())
                .put("followers", status.subscribers())
                .put("contradictionBoundMs", status.contradictionBoundMillis())
                .put("holdsWithinMs", status.activationBoundMillis())
                .put("folder", status.storageId());
    }

    private static ObjectNode json(Member member) {
        return JSON.createObjectNode()
                .put("name", member.name())
                .put("folder", member.storageId())
                .put("address", member.address());
    }
}
