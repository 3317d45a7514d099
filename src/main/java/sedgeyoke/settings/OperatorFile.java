package sedgeyoke.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.proxy.config.IpAddress;

/**
 * The values of a valid operator's file, by section. Every key has a default: an empty file is valid and enables no
 * feature. Immutable.
 */
public final class OperatorFile {
    private final Path file;
    private final Map<String, Object> values;

    OperatorFile(Path file, Map<String, Object> values) {
        this.file = file;
        this.values = values;
    }

    /** Reads a file and prints a warning about deprecated names to standard error. */
    public static OperatorFile load(Path file) throws InvalidOperatorFileException {
        return load(file, System.err::println);
    }

    /**
     * Reads a file.
     *
     * @param warnings receives one line if the file contains deprecated names
     * @throws InvalidOperatorFileException with all problems of the file, each with its line
     */
    public static OperatorFile load(Path file, Consumer<String> warnings) throws InvalidOperatorFileException {
        return OperatorFileReader.read(file, warnings);
    }

    // ---- Values --------------------------------------------------------------------------------------

    private Object value(String path) {
        return values.getOrDefault(path, OperatorFileKeys.get(path).defaultValue());
    }

    private boolean flag(String path) {
        return (boolean) value(path);
    }

    private long number(String path) {
        return (long) value(path);
    }

    private Path path(String path) {
        Path folder = file.toAbsolutePath().getParent();
        String text = (String) value(path);
        return text.isEmpty() || folder == null ? Path.of(text) : folder.resolve(text);
    }

    private List<InetSocketAddress> addresses(String path) {
        return ((List<?>) value(path))
                .stream().map(text -> IpAddress.parse((String) text)).toList();
    }

    private TlsFiles tls(String section) {
        return new TlsFiles(path(section + ".certificate"), path(section + ".key"), path(section + ".trust"));
    }

    /** Section {@code [plans]}. Relative paths are resolved against the folder of the file. */
    public PlannerClientSettings plans() {
        return new PlannerClientSettings(
                flag("plans.enabled"),
                addresses("plans.planners"),
                number("plans.report_every_ms"),
                number("plans.lease_ms"),
                number("plans.fade_ms"),
                number("plans.drift_ppm"),
                tls("plans"));
    }

    /** Section {@code [bodies]}; {@link BodyLimits#PLATFORM} if it is not enabled. */
    public BodyLimits bodies() {
        if (!flag("bodies.enabled")) {
            return BodyLimits.PLATFORM;
        }
        return new BodyLimits(
                true,
                (int) number("bodies.ceiling_kib") << 10,
                number("bodies.total_mib") << 20,
                number("bodies.least_rate"),
                number("bodies.rate_window_ms") * 1_000,
                number("bodies.longest_upload_s") * 1_000_000,
                number("bodies.longest_still_ms") * 1_000,
                number("bodies.longest_body_mib") << 20,
                (int) number("bodies.socket_buffer_kib") << 10,
                0,
                number("bodies.longest_still_ms") * 1_000);
    }

    /** Section {@code [planner]}. */
    public PlannerSettings planner() {
        return new PlannerSettings(
                flag("planner.enabled"),
                (String) value("planner.name"),
                IpAddress.parse((String) value("planner.listen")),
                number("planner.plan_every_ms"),
                number("planner.lease_ms"),
                number("planner.drift_ppm"),
                (int) number("planner.most_forwarders"),
                (int) number("planner.most_upstreams"),
                tls("planner"));
    }

    /** Section {@code [config_server]}. */
    public ConfigServerSettings configServer() {
        return new ConfigServerSettings(
                flag("config_server.enabled"),
                (String) value("config_server.tier"),
                (String) value("config_server.name"),
                IpAddress.parse((String) value("config_server.listen")),
                path("config_server.folder"),
                Addresses.parseNamed((List<?>) value("config_server.servers")),
                number("config_server.lease_ms"),
                number("config_server.drift_ppm"),
                flag("config_server.fsync_may_be_lost"),
                (int) number("config_server.max_subscribers"),
                tls("config_server"));
    }

    /** Section {@code [config]}. */
    public ConfigSubscriptionSettings config() {
        return new ConfigSubscriptionSettings(
                flag("config.enabled"),
                addresses("config.servers"),
                number("config.lease_ms"),
                number("config.drift_ppm"),
                tls("config"));
    }

    /** Section {@code [operator]}; throws if any of its keys is missing, as the commands need all of them. */
    public ClientSettings operator() throws InvalidOperatorFileException {
        List<ConfigProblem> missing = new ArrayList<>();
        for (String key : List.of("name", "servers", "certificate", "key", "trust")) {
            if (!values.containsKey("operator." + key)) {
                missing.add(new ConfigProblem(
                        file.toString(), 0, "operator." + key, "is needed to reach the config servers"));
            }
        }
        if (!missing.isEmpty()) {
            throw new InvalidOperatorFileException(missing);
        }
        return new ClientSettings((String) value("operator.name"), addresses("operator.servers"), tls("operator"));
    }

    /** Returns the keys whose values differ in {@code later} and take effect only after a restart. */
    public List<String> needRestart(OperatorFile later) {
        return OperatorFileKeys.ALL.stream()
                .filter(key -> !key.reloadable() && !Objects.equals(value(key.path()), later.value(key.path())))
                .map(Key::path)
                .toList();
    }

    /** Returns one line per key for the operators' documentation: type, default, and SIGHUP or restart for a change. */
    public static List<String> table() {
        return OperatorFileKeys.ALL.stream()
                .map(key -> key.path() + " | " + key.type().description + " | " + key.defaultValue() + " | "
                        + (key.reloadable() ? "SIGHUP" : "restart"))
                .toList();
    }
}
