package sedgeyoke.proxy.config;

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
 * The configuration that the platform gives to one balancer, validated on reading.
 *
 * @param name the balancer's name
 * @param listen the address that clients connect to
 * @param discovery the address that endpoint lists are fetched from
 * @param adminAddress the address of the admin endpoint, or null where the platform has none; the platform's key is
 *     {@code ops}
 * @param sharedFolder a folder that the processes of one balancer share during an upgrade, or null
 * @param seed seed of all random choices
 * @param sockets how many sockets the process may open
 * @param instanceSettings the settings, with the names that their indices stand for
 * @param configuredEndpoints the endpoint list to start with; the platform's key is {@code known}
 */
public record BalancerConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress adminAddress,
        Path sharedFolder,
        long seed,
        int sockets,
        SettingsReader.InstanceSettings instanceSettings,
        EndpointList configuredEndpoints) {

    public static final JsonMapper JSON = new JsonMapper();
    private static final int MIN_SOCKETS = 128;

    /** Reads the configuration file at {@code path}, and what the platform sets in the environment. */
    public static BalancerConfig load(String path) throws InvalidConfigException {
        if (path == null || path.isEmpty()) {
            throw new InvalidConfigException("BALANCER_CONFIG is not set");
        }
        try {
            return parse(Files.readAllBytes(Path.of(path)))
                    .with(System.getenv("BALANCER_OPS"), System.getenv("TMPDIR"));
        } catch (JsonProcessingException e) {
            throw new InvalidConfigException(path + " is not JSON: "
                    + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw new InvalidConfigException("cannot read " + path + ": " + e.getMessage());
        }
    }

    /**
     * Returns this configuration with what the platform sets in the environment.
     *
     * @param address the address of the admin endpoint, used only if the file has none; null or empty for none
     * @param shared the folder that the processes of one balancer share; null or empty for none
     */
    public BalancerConfig with(String address, String shared) throws InvalidConfigException {
        InetSocketAddress changedAddress = adminAddress;
        if (adminAddress == null && address != null && !address.isEmpty()) {
            changedAddress = IpAddress.parse(address);
            if (changedAddress == null) {
                throw new InvalidConfigException("BALANCER_OPS", "BALANCER_OPS is malformed: " + address);
            }
        }
        return new BalancerConfig(
                name,
                listen,
                discovery,
                changedAddress,
                shared == null || shared.isEmpty() ? null : Path.of(shared),
                seed,
                sockets,
                instanceSettings,
                configuredEndpoints);
    }

    /** Limits on bodies. Long bodies are streamed if there is an admin endpoint, as the same deployments have both. */
    public BodyLimits bodies() {
        return adminAddress == null ? BodyLimits.PLATFORM : BodyLimits.OPERATED;
    }

    /**
     * The fields that differ in {@code other} and need a restart. The seed and the endpoint list differ with each
     * configuration and are ignored.
     */
    public List<String> needRestart(BalancerConfig other) {
        List<String> fields = new ArrayList<>();
        Map<String, Function<BalancerConfig, Object>> fixedFields = new TreeMap<>(Map.of(
                "name",
                BalancerConfig::name,
                "listen",
                BalancerConfig::listen,
                "ops",
                changed -> String.valueOf(changed.adminAddress()),
                "limits.sockets",
                BalancerConfig::sockets,
                "settings",
                BalancerConfig::instanceSettings));
        fixedFields.forEach((field, value) -> {
            if (!value.apply(this).equals(value.apply(other))) {
                fields.add(field);
            }
        });
        return fields;
    }

    /** Parses a configuration; throws with the name of the first invalid field. */
    public static BalancerConfig parse(byte[] json) throws InvalidConfigException, IOException {
        JsonNode root = JSON.readTree(json);
        SettingsReader.InstanceSettings instanceSettings = readSettings(root.path("settings"));
        int sockets = root.path("limits").path("sockets").asInt(0);
        require(sockets >= MIN_SOCKETS, "limits.sockets (at least " + MIN_SOCKETS + ")");
        require(root.path("name").isTextual(), "name");
        EndpointList configuredEndpoints;
        try {
            configuredEndpoints = root.path("known").isMissingNode()
                    ? EndpointList.EMPTY
                    : EndpointList.read(root.path("known"), instanceSettings);
        } catch (InvalidEndpointListException e) {
            throw new InvalidConfigException("known", "configuration: known: " + e.getMessage());
        }
        return new BalancerConfig(
                root.path("name").asText(),
                address(root, "listen"),
                address(root, "discovery"),
                root.path("ops").isMissingNode() ? null : address(root, "ops"),
                null,
                seed(root),
                sockets,
                instanceSettings,
                configuredEndpoints);
    }

    private static SettingsReader.InstanceSettings readSettings(JsonNode node)
            throws InvalidConfigException, IOException {
        require(node.isObject(), "settings");
        SettingsReader.InstanceSettings instanceSettings;
        try (JsonParser json = node.traverse()) {
            json.nextToken();
            instanceSettings = SettingsReader.read(json);
        } catch (InvalidInputException e) {
            throw new InvalidConfigException("configuration: " + e.getMessage());
        }
        Settings settings = instanceSettings.settings();
        require(settings.limits().connectTimeoutMicros() > 0, "settings.ceilings.connect-timeout-s");
        require(settings.limits().idleTimeoutMicros() > 0, "settings.ceilings.conn-idle-s");
        require(!instanceSettings.classNames().contains(""), "settings.classes[].name");
        unsupported(settings.limits().healthChecks(), "ceilings.probes");
        unsupported(settings.reports() == Reports.BY_HEALTH_CHECK, "report.via");
        unsupported(settings.limits().peers(), "ceilings.peers");
        unsupported(settings.classes().stream().anyMatch(RequestClass::stream), "classes[].stream");
        return instanceSettings;
    }

    /** Rejects settings that need health checks, peer messages or streams, which this balancer does not support. */
    private static void unsupported(boolean wanted, String setting) throws InvalidConfigException {
        if (wanted) {
            throw new InvalidConfigException(
                    "settings." + setting, "configuration: settings." + setting + " is not supported by this balancer");
        }
    }

    private static long seed(JsonNode root) throws InvalidConfigException {
        try {
            return Long.parseUnsignedLong(root.path("seed").asText(), 16);
        } catch (NumberFormatException e) {
            throw new InvalidConfigException("seed", "configuration: seed is missing or not a hexadecimal number");
        }
    }

    private static InetSocketAddress address(JsonNode root, String field) throws InvalidConfigException {
        InetSocketAddress address = IpAddress.parse(root.path(field).asText());
        require(address != null, field);
        return address;
    }

    private static void require(boolean valid, String field) throws InvalidConfigException {
        if (!valid) {
            throw new InvalidConfigException(field, "configuration: " + field + " is missing or malformed");
        }
    }
}
