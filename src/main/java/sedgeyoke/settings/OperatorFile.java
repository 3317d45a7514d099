package sedgeyoke.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.proxy.IpAddress;

/**
 * An operator's file that was read and found in order. Every key has a default, so an empty file is a good one and
 * turns nothing on.
 */
public final class OperatorFile {
    private static final int MOST_PLANNERS = 16;
    private static final int MOST_KEEPERS = 7;
    private static final long LARGEST_FILE = 1 << 20;
    private static final List<Key> KEYS = List.of(
            Key.flag("plans.enabled"),
            Key.addresses("plans.planners", MOST_PLANNERS),
            Key.number("plans.report_every_ms", 200, 50, 2_000).reloading(),
            Key.number("plans.lease_ms", 1_500, 300, 10_000),
            Key.number("plans.fade_ms", 4_000, 500, 60_000).reloading(),
            Key.number("plans.drift_ppm", 1_000, 0, 50_000),
            Key.text("plans.certificate"),
            Key.text("plans.key"),
            Key.text("plans.trust"),
            Key.flag("bodies.enabled"),
            Key.number("bodies.ceiling_kib", 64, 16, 1_024),
            Key.number("bodies.total_mib", 16, 1, 65_536),
            Key.number("bodies.least_rate", 1_000, 0, 1L << 30),
            Key.number("bodies.rate_window_ms", 10_000, 100, 600_000),
            Key.number("bodies.longest_upload_s", 120, 1, 86_400),
            Key.number("bodies.longest_still_ms", 5_000, 100, 600_000),
            Key.number("bodies.longest_body_mib", 1_024, 1, 1 << 20),
            Key.number("bodies.socket_buffer_kib", 256, 0, 65_536),
            Key.flag("planner.enabled"),
            Key.text("planner.name"),
            Key.address("planner.listen"),
            Key.number("planner.plan_every_ms", 200, 50, 2_000),
            Key.number("planner.lease_ms", 1_500, 300, 10_000),
            Key.number("planner.drift_ppm", 1_000, 0, 50_000),
            Key.number("planner.most_forwarders", 1_000, 1, 10_000),
            Key.number("planner.most_upstreams", 1_000, 1, 20_000),
            Key.text("planner.certificate"),
            Key.text("planner.key"),
            Key.text("planner.trust"),
            Key.flag("keeper.enabled"),
            Key.text("keeper.tier"),
            Key.text("keeper.name"),
            Key.address("keeper.listen"),
            Key.text("keeper.folder"),
            Key.named("keeper.keepers", MOST_KEEPERS),
            Key.number("keeper.lease_ms", 3_000, 1_000, 60_000),
            Key.number("keeper.drift_ppm", 1_000, 0, 50_000),
            Key.flag("keeper.forces_may_lie"),
            Key.number("keeper.most_followers", 1_000, 1, 4_096),
            Key.text("keeper.certificate"),
            Key.text("keeper.key"),
            Key.text("keeper.trust"),
            Key.flag("agreed.enabled"),
            Key.addresses("agreed.keepers", MOST_KEEPERS),
            Key.number("agreed.lease_ms", 3_000, 1_000, 60_000),
            Key.number("agreed.drift_ppm", 1_000, 0, 50_000),
            Key.text("agreed.certificate"),
            Key.text("agreed.key"),
            Key.text("agreed.trust"),
            Key.text("operator.name"),
            Key.addresses("operator.keepers", MOST_KEEPERS),
            Key.text("operator.certificate"),
            Key.text("operator.key"),
            Key.text("operator.trust"));
    private static final Map<String, Key> BY_PATH =
            KEYS.stream().collect(Collectors.toMap(Key::path, k -> k, (a, b) -> a, LinkedHashMap::new));

    private final Path file;
    private final Map<String, Object> values;

    private OperatorFile(Path file, Map<String, Object> values) {
        this.file = file;
        this.values = values;
    }

    /** Reads a file; throws with all that is wrong in it, each with its line. */
    public static OperatorFile load(Path file) throws InvalidOperatorFileException {
        String name = file.toString();
        try {
            if (Files.size(file) > LARGEST_FILE) {
                throw bad(new ConfigProblem(name, 0, "", "is larger than " + LARGEST_FILE + " bytes"));
            }
            return read(file, Toml.parse(file));
        } catch (IOException e) {
            throw bad(new ConfigProblem(name, 0, "", "cannot be read: " + e));
        }
    }

    private static InvalidOperatorFileException bad(ConfigProblem problem) {
        return new InvalidOperatorFileException(List.of(problem));
    }

    private static OperatorFile read(Path file, TomlParseResult toml) throws InvalidOperatorFileException {
        List<ConfigProblem> problems = new ArrayList<>();
        toml.errors()
                .forEach(e -> problems.add(
                        new ConfigProblem(file.toString(), e.position().line(), "", e.getMessage())));
        Map<String, Object> values = new LinkedHashMap<>();
        if (problems.isEmpty()) { // of a file that is no TOML, every key would be a second complaint
            for (String path : toml.dottedKeySet(true)) {
                check(file, toml, path, values, problems);
            }
            OperatorFile read = new OperatorFile(file, values);
            read.checkTogether(toml, problems);
            if (problems.isEmpty()) {
                return read;
            }
        }
        problems.sort(Comparator.comparingInt(ConfigProblem::line));
        throw new InvalidOperatorFileException(problems);
    }

    private static void check(
            Path file, TomlParseResult toml, String path, Map<String, Object> values, List<ConfigProblem> problems) {
        Key key = BY_PATH.get(path);
        Object value = toml.get(path);
        if (key == null) {
            if (toml.isTable(path) && KEYS.stream().anyMatch(k -> k.section().equals(path))) {
                return;
            }
            if (!toml.isTable(path) || BY_PATH.keySet().stream().noneMatch(k -> k.startsWith(path + "."))) {
                problems.add(
                        new ConfigProblem(file.toString(), line(toml, path), path, "is not known; " + nearest(path)));
            }
            return;
        }
        Object typed = typed(key.type(), value);
        String fault =
                typed == null ? "must be " + key.type().says : key.fault().apply(typed);
        if (fault != null) {
            problems.add(new ConfigProblem(file.toString(), line(toml, path), path, fault));
        } else {
            values.put(path, typed);
        }
    }

    private static Object typed(Key.Type type, Object value) {
        if (value instanceof TomlArray array) {
            List<Object> items =
                    IntStream.range(0, array.size()).mapToObj(array::get).toList();
            return type == Key.Type.STRINGS && items.stream().allMatch(String.class::isInstance) ? items : null;
        }
        boolean fits = type == Key.Type.BOOLEAN && value instanceof Boolean
                || type == Key.Type.INTEGER && value instanceof Long
                || type == Key.Type.STRING && value instanceof String;
        return fits ? value : null;
    }

    /** What no key shows alone: what a feature needs when on, and features that exclude each other. */
    private void checkTogether(TomlParseResult toml, List<ConfigProblem> problems) {
        if (flag("plans.enabled")) {
            require(toml, problems, "plans", "planners", "certificate", "key", "trust");
        }
        if (flag("planner.enabled")) {
            require(toml, problems, "planner", "name", "listen", "certificate", "key", "trust");
        }
        if (flag("agreed.enabled")) {
            require(toml, problems, "agreed", "keepers", "certificate", "key", "trust");
        }
        if (flag("keeper.enabled")) {
            require(
                    toml,
                    problems,
                    "keeper",
                    "tier",
                    "name",
                    "listen",
                    "folder",
                    "keepers",
                    "certificate",
                    "key",
                    "trust");
            if (values.containsKey("keeper.name")
                    && values.containsKey("keeper.keepers")
                    && !Addresses.named((List<?>) values.get("keeper.keepers")).containsKey(value("keeper.name"))) {
                problems.add(new ConfigProblem(
                        file.toString(),
                        line(toml, "keeper.keepers"),
                        "keeper.keepers",
                        "must name " + value("keeper.name") + " itself, too"));
            }
        }
        if (flag("plans.enabled") && flag("planner.enabled")) {
            problems.add(new ConfigProblem(
                    file.toString(),
                    line(toml, "planner.enabled"),
                    "planner.enabled",
                    "excludes plans.enabled (line " + line(toml, "plans.enabled")
                            + "): a process is a forwarder or a planner; use a file for each"));
        }
    }

    private void require(TomlParseResult toml, List<ConfigProblem> problems, String section, String... keys) {
        for (String key : keys) {
            String path = section + "." + key;
            Object value = values.get(path);
            boolean reported = problems.stream().anyMatch(p -> p.key().equals(path));
            if (!reported && (value == null || value instanceof List<?> list && list.isEmpty())) {
                problems.add(new ConfigProblem(
                        file.toString(),
                        line(toml, section + ".enabled"),
                        path,
                        "is needed where " + section + ".enabled is true"));
            }
        }
    }

    private static int line(TomlParseResult toml, String path) {
        var position = toml.inputPositionOf(path);
        return position == null ? 0 : position.line();
    }

    private static String nearest(String path) {
        int dot = path.indexOf('.');
        String section = dot < 0 ? path : path.substring(0, dot);
        String known = KEYS.stream()
                .filter(k -> k.section().equals(section))
                .map(k -> k.path().substring(section.length() + 1))
                .collect(Collectors.joining(", "));
        return known.isEmpty()
                ? "sections are " + KEYS.stream().map(Key::section).distinct().collect(Collectors.joining(", "))
                : "keys of [" + section + "] are " + known;
    }

    // ---- Values --------------------------------------------------------------------------------------

    private Object value(String path) {
        return values.getOrDefault(path, BY_PATH.get(path).fallback());
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

    /** Section {@code [plans]}. Relative paths are taken from the file's own folder. */
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

    /** Section {@code [bodies]}; the platform's limits where it is off. */
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
                (int) number("bodies.socket_buffer_kib") << 10);
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

    /** Section {@code [keeper]}. */
    public ConfigServerSettings keeper() {
        return new ConfigServerSettings(
                flag("keeper.enabled"),
                (String) value("keeper.tier"),
                (String) value("keeper.name"),
                IpAddress.parse((String) value("keeper.listen")),
                path("keeper.folder"),
                Addresses.named((List<?>) value("keeper.keepers")),
                number("keeper.lease_ms"),
                number("keeper.drift_ppm"),
                flag("keeper.forces_may_lie"),
                (int) number("keeper.most_followers"),
                tls("keeper"));
    }

    /** Section {@code [agreed]}. */
    public ConfigSubscriptionSettings agreed() {
        return new ConfigSubscriptionSettings(
                flag("agreed.enabled"),
                addresses("agreed.keepers"),
                number("agreed.lease_ms"),
                number("agreed.drift_ppm"),
                tls("agreed"));
    }

    /** Section {@code [operator]}; throws where a key of it is missing, as a command cannot do without any. */
    public ClientSettings operator() throws InvalidOperatorFileException {
        List<ConfigProblem> missing = new ArrayList<>();
        for (String key : List.of("name", "keepers", "certificate", "key", "trust")) {
            if (!values.containsKey("operator." + key)) {
                missing.add(new ConfigProblem(file.toString(), 0, "operator." + key, "is needed to reach the keepers"));
            }
        }
        if (!missing.isEmpty()) {
            throw new InvalidOperatorFileException(missing);
        }
        return new ClientSettings((String) value("operator.name"), addresses("operator.keepers"), tls("operator"));
    }

    /** The keys whose values differ in a file that was read later and that are not taken over without a restart. */
    public List<String> needRestart(OperatorFile later) {
        return KEYS.stream()
                .filter(k -> !k.reloads() && !Objects.equals(value(k.path()), later.value(k.path())))
                .map(Key::path)
                .toList();
    }

    /** All keys, one a line with its default: the source of the table in the operators' documentation. */
    public static List<String> table() {
        return KEYS.stream()
                .map(k -> k.path() + " | " + k.type().says + " | " + k.fallback() + " | "
                        + (k.reloads() ? "SIGHUP" : "restart"))
                .toList();
    }
}
