package sedgeyoke.transport;

import java.util.Set;
import java.util.stream.Collectors;

/**
 * Role of a process, as its certificate states it. Only this class knows the organisational units of the certificates;
 * they must stay as they are, because operators have certificates with them.
 */
public enum PeerRole {
    FORWARDER("forwarder"),
    PLANNER("planner"),
    CONFIG_SERVER("keeper"),
    OPERATOR("operator");

    private final String organizationalUnit;

    PeerRole(String organizationalUnit) {
        this.organizationalUnit = organizationalUnit;
    }

    /** Returns the organisational unit in the subject of certificates with this role. */
    public String organizationalUnit() {
        return organizationalUnit;
    }

    /** Lists the organisational units of roles, for log lines. */
    static String list(Set<PeerRole> roles) {
        return roles.stream().map(PeerRole::organizationalUnit).sorted().collect(Collectors.joining(" or "));
    }
}
