package sedgeyoke.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** The keys of the operator's file with their types, defaults and limits. */
final class OperatorFileKeys {
    private static final int MAX_PLANNERS = 16;
    private static final int MAX_CONFIG_SERVERS = 7;
    static final List<Key> ALL = List.of(
            Key.flag("plans.enabled"),
            Key.addresses("plans.planners", MAX_PLANNERS),
            Key.number("plans.report_every_ms", 200, 50, 2_000).withReload(),
            Key.number("plans.lease_ms", 1_500, 300, 10_000),
            Key.number("plans.fade_ms", 4_000, 500, 60_000).withReload(),
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
            Key.flag("config_server.enabled"),
            Key.text("config_server.tier"),
            Key.text("config_server.name"),
            Key.address("config_server.listen"),
            Key.text("config_server.folder"),
            Key.namedAddresses("config_server.servers", MAX_CONFIG_SERVERS),
            Key.number("config_server.lease_ms", 3_000, 1_000, 60_000),
            Key.number("config_server.drift_ppm", 1_000, 0, 50_000),
            Key.flag("config_server.fsync_may_be_lost"),
            Key.number("config_server.max_subscribers", 1_000, 1, 4_096),
            Key.text("config_server.certificate"),
            Key.text("config_server.key"),
            Key.text("config_server.trust"),
            Key.flag("config.enabled"),
            Key.addresses("config.servers", MAX_CONFIG_SERVERS),
            Key.number("config.lease_ms", 3_000, 1_000, 60_000),
            Key.number("config.drift_ppm", 1_000, 0, 50_000),
            Key.text("config.certificate"),
            Key.text("config.key"),
            Key.text("config.trust"),
            Key.text("operator.name"),
            Key.addresses("operator.servers", MAX_CONFIG_SERVERS),
            Key.text("operator.certificate"),
            Key.text("operator.key"),
            Key.text("operator.trust"));

    private static final Map<String, Key> BY_PATH = byPath();

    private OperatorFileKeys() {}

    private static Map<String, Key> byPath() {
        Map<String, Key> keys = new LinkedHashMap<>();
        ALL.forEach(key -> keys.put(key.path(), key));
        return keys;
    }

    /** Returns the key with a path such as {@code plans.enabled}; null if there is none. */
    static Key get(String path) {
        return BY_PATH.get(path);
    }

    static boolean isSection(String path) {
        return ALL.stream().anyMatch(key -> key.section().equals(path));
    }

    /** Returns whether the path of any key starts with this path. */
    static boolean isPrefix(String path) {
        return BY_PATH.keySet().stream().anyMatch(key -> key.startsWith(path + "."));
    }

    /** Returns the valid keys of the section of an unknown path, or the valid sections if that is unknown, too. */
    static String suggestionFor(String path) {
        int dot = path.indexOf('.');
        String section = dot < 0 ? path : path.substring(0, dot);
        if (isSection(section)) {
            return "keys of [" + section + "] are "
                    + ALL.stream()
                            .filter(key -> key.section().equals(section))
                            .map(key -> key.path().substring(section.length() + 1))
                            .collect(Collectors.joining(", "));
        }
        return "sections are " + ALL.stream().map(Key::section).distinct().collect(Collectors.joining(", "));
    }
}
