package sedgeyoke.proxy;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.policy.LoadBalancingPolicy.Reports;
import sedgeyoke.policy.LoadBalancingPolicy.RequestClass;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.simulator.InvalidInputException;
import sedgeyoke.simulator.SettingsReader;

/**
 * The configuration of one start; anything missing or malformed is refused with the name of the field. {@code ops} is
 * where operators knock (DAYS, "In operation"), null where the platform has no such door; {@code folder} is what the
 * processes of one balancer share during an upgrade, null for none.
 */
public record BalancerConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress ops,
        Path folder,
        long seed,
        int sockets,
        SettingsReader.Found facts,
        EndpointList known) {

    static final JsonMapper JSON = new JsonMapper();
    private static final int FEWEST_SOCKETS = 128;

    /** A configuration that the program cannot run with; the message is for the operator. */
    public static final class Bad extends Exception {
        private static final long serialVersionUID = 1L;

        Bad(String message) {
            super(message);
        }
    }

    /** Reads the file that the platform names. */
    public static BalancerConfig load(String path) throws Bad {
        if (path == null || path.isEmpty()) {
            throw new Bad("BALANCER_CONFIG is not set");
        }
        try {
            return parse(Files.readAllBytes(Path.of(path)))
                    .with(System.getenv("BALANCER_OPS"), System.getenv("TMPDIR"));
        } catch (JsonProcessingException e) {
            throw new Bad(path + " is not JSON: "
                    + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw new Bad("cannot read " + path + ": " + e.getMessage());
        }
    }

    /** The file's word on the door counts; the environment's where it has none. */
    BalancerConfig with(String address, String shared) throws Bad {
        InetSocketAddress door = ops != null || address == null || address.isEmpty() ? ops : IpAddress.parse(address);
        if (door == null && ops == null && address != null && !address.isEmpty()) {
            throw new Bad("BALANCER_OPS is malformed: " + address);
        }
        Path of = shared == null || shared.isEmpty() ? null : Path.of(shared);
        return new BalancerConfig(name, listen, discovery, door, of, seed, sockets, facts, known);
    }

    /** Bodies are long where operators have their door: one deployment brings both (DAYS, "Size"). */
    public BodyLimits bodies() {
        return ops == null ? BodyLimits.PLATFORM : BodyLimits.OPERATED;
    }

    /** The fields in which the other one differs and that are read at the start only; its seed and list always are. */
    List<String> needRestart(BalancerConfig other) {
        List<String> fields = new ArrayList<>();
        Map<String, Function<BalancerConfig, Object>> fixed = new TreeMap<>(Map.of(
                "name",
                BalancerConfig::name,
                "listen",
                BalancerConfig::listen,
                "ops",
                c -> String.valueOf(c.ops()),
                "limits.sockets",
                BalancerConfig::sockets,
                "settings",
                BalancerConfig::facts));
        fixed.forEach((field, value) -> {
            if (!value.apply(this).equals(value.apply(other))) {
                fields.add(field);
            }
        });
        return fields;
    }

    /** Reads a configuration; throws with the name of the field that is no good. */
    public static BalancerConfig parse(byte[] json) throws Bad, IOException {
        JsonNode root = JSON.readTree(json);
        SettingsReader.Found facts = facts(root.path("settings"));
        int sockets = root.path("limits").path("sockets").asInt(0);
        require(sockets >= FEWEST_SOCKETS, "limits.sockets (at least " + FEWEST_SOCKETS + ")");
        require(root.path("name").isTextual(), "name");
        EndpointList known;
        try {
            known = root.path("known").isMissingNode()
                    ? EndpointList.EMPTY
                    : EndpointList.read(root.path("known"), facts);
        } catch (EndpointList.Malformed e) {
            throw new Bad("configuration: known: " + e.getMessage());
        }
        return new BalancerConfig(
                root.path("name").asText(),
                address(root, "listen"),
                address(root, "discovery"),
                root.path("ops").isMissingNode() ? null : address(root, "ops"),
                null,
                seed(root),
                sockets,
                facts,
                known);
    }

    private static SettingsReader.Found facts(JsonNode node) throws Bad, IOException {
        require(node.isObject(), "settings");
        SettingsReader.Found facts;
        try (JsonParser json = node.traverse()) {
            json.nextToken();
            facts = SettingsReader.read(json);
        } catch (InvalidInputException e) {
            throw new Bad("configuration: " + e.getMessage());
        }
        Settings s = facts.settings();
        require(s.limits().connectTimeout() > 0, "settings.ceilings.connect-timeout-s");
        require(s.limits().idleTimeout() > 0, "settings.ceilings.conn-idle-s");
        require(!facts.classNames().contains(""), "settings.classes[].name");
        unsupported(s.limits().healthChecks(), "ceilings.probes");
        unsupported(s.reports() == Reports.BY_HEALTH_CHECK, "report.via");
        unsupported(s.limits().peers(), "ceilings.peers");
        unsupported(s.classes().stream().anyMatch(RequestClass::stream), "classes[].stream");
        return facts;
    }

    /** Guards against running half-blind: probes, peer datagrams and streams are not built in. */
    private static void unsupported(boolean wanted, String setting) throws Bad {
        if (wanted) {
            throw new Bad("configuration: settings." + setting + " asks for what this balancer does not have");
        }
    }

    private static long seed(JsonNode root) throws Bad {
        try {
            return Long.parseUnsignedLong(root.path("seed").asText(), 16);
        } catch (NumberFormatException e) {
            throw new Bad("configuration: seed is missing or not a hexadecimal number");
        }
    }

    private static InetSocketAddress address(JsonNode root, String field) throws Bad {
        InetSocketAddress address = IpAddress.parse(root.path(field).asText());
        require(address != null, field);
        return address;
    }

    private static void require(boolean ok, String field) throws Bad {
        if (!ok) {
            throw new Bad("configuration: " + field + " is missing or malformed");
        }
    }
}
